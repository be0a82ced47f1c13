package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/lab/floor"
)

const portTimeout = 20 * time.Second

func awaitPort(address string) error {
	for deadline := time.Now().Add(portTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		connection, err := net.Dial("tcp", address)
		if err == nil {
			_ = connection.Close()
			return nil
		}
	}
	return errors.Errorf("%s does not answer", address)
}

// postFor posts a body and decodes the answer.
func postFor(url string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "scale: encode")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrap(err, "scale")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "scale")
	}
	defer func() { _ = response.Body.Close() }()
	return errors.Wrap(json.NewDecoder(response.Body).Decode(answer), "scale: decode")
}

func (one *hollowFloor) stats() HostStats {
	var total HostStats
	for _, url := range one.hostURLs {
		var stats HostStats
		if floor.GetJSON(url+"/stats", &stats) != nil {
			continue
		}
		total.Daemons += stats.Daemons
		total.CPUSeconds += stats.CPUSeconds
		total.HeapBytes += stats.HeapBytes
		total.Goroutines += stats.Goroutines
		total.Received += stats.Received
		total.Sent += stats.Sent
	}
	return total
}

// measureSteady measures what the daemons use while the configuration changes
// at the target's rate, and how long each change takes to be everywhere.
func (one *hollowFloor) measureSteady(row *Row) {
	before := one.stats()
	startedAt := time.Now()
	var spreads []float64
	for number := 1; time.Since(startedAt) < steadyTime; number++ {
		began := time.Now()
		spreads = append(spreads, one.spread(number))
		time.Sleep(time.Until(began.Add(changeInterval)))
	}
	after := one.stats()
	elapsed := time.Since(startedAt).Seconds() * float64(one.size)
	const kilobyte = 1000
	row.CPUPercent = 100 * (after.CPUSeconds - before.CPUSeconds) / elapsed
	row.SentKBps = float64(after.Sent-before.Sent) / elapsed / kilobyte
	row.ReceivedKBs = float64(after.Received-before.Received) / elapsed / kilobyte
	row.HeapMB = float64(after.HeapBytes) / float64(one.size) / (kilobyte * kilobyte)
	sort.Float64s(spreads)
	row.SpreadP50 = spreads[len(spreads)/2]
	row.SpreadMax = spreads[len(spreads)-1]
}

// spread publishes a change and returns the time until every daemon has it in
// force. The daemons are asked seldom, so that asking costs little.
func (one *hollowFloor) spread(number int) float64 {
	before := one.highestOffset()
	startedAt := time.Now()
	if one.publish(number) != nil {
		return -1
	}
	for time.Since(startedAt) < eventLimit {
		if one.lowestOffset() > before {
			return time.Since(startedAt).Seconds()
		}
		time.Sleep(5 * pollInterval)
	}
	return -1
}

func (one *hollowFloor) highestOffset() uint64 {
	highest := uint64(0)
	for _, view := range one.views() {
		highest = max(highest, view.Offset)
	}
	return highest
}

func (one *hollowFloor) lowestOffset() uint64 {
	views := one.views()
	if len(views) == 0 {
		return 0
	}
	lowest := views[0].Offset
	for _, view := range views {
		lowest = min(lowest, view.Offset)
	}
	return lowest
}
