package chaos

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"woodworks/internal/lab/floor"
	"woodworks/internal/lab/workload"
	"woodworks/internal/operator"
)

const (
	watchInterval = 100 * time.Millisecond
	// inForceWithin is what "within seconds" is taken to be.
	inForceWithin = 7 * time.Second
)

// acceptance is a configuration that an operator was told is accepted.
type acceptance struct {
	offset uint64
	at     time.Time
}

// configurationWatch asks every daemon again and again which configuration is
// in force, and whether it admits new work.
type configurationWatch struct {
	floor    *floor.Floor
	ledger   *workload.Ledger
	mutex    sync.Mutex
	accepted []acceptance
}

func newConfigurationWatch(started *floor.Floor, ledger *workload.Ledger) *configurationWatch {
	return &configurationWatch{floor: started, ledger: ledger}
}

// accept notes that an offset was accepted now.
func (watch *configurationWatch) accept(offset uint64) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.accepted = append(watch.accepted, acceptance{offset: offset, at: time.Now()})
}

// due returns the highest offset that must be in force everywhere at a time.
func (watch *configurationWatch) due(at time.Time) uint64 {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	highest := uint64(0)
	for _, one := range watch.accepted {
		if at.Sub(one.at) > inForceWithin {
			highest = max(highest, one.offset)
		}
	}
	return highest
}

func (watch *configurationWatch) run(ctx context.Context) {
	var watching sync.WaitGroup
	for _, daemon := range watch.floor.Daemons {
		watching.Add(1)
		go func() {
			defer watching.Done()
			watch.follow(ctx, daemon)
		}()
	}
	watching.Wait()
}

// follow asks one daemon. The offset must never fall while the process lives,
// and a daemon that calls itself ready must have what was accepted in time
// before the question was asked.
func (watch *configurationWatch) follow(ctx context.Context, daemon *floor.Daemon) {
	highest := uint64(0)
	process := daemon.Done()
	for ctx.Err() == nil {
		askedAt := time.Now()
		ready, offset, err := watch.ask(ctx, daemon)
		if daemon.Done() != process {
			process = daemon.Done()
			highest = 0
		} else if err == nil {
			watch.ledger.Check(workload.Configuration, offset >= highest, "%s went back from offset %d to %d", daemon.Name, highest, offset)
			highest = max(highest, offset)
		}
		if err == nil && ready {
			due := watch.due(askedAt)
			watch.ledger.Check(workload.Configuration, offset >= due, "%s admits work at offset %d, %s after offset %d was accepted", daemon.Name, offset, inForceWithin, due)
		}
		time.Sleep(watchInterval)
	}
}

func (watch *configurationWatch) ask(ctx context.Context, daemon *floor.Daemon) (ready bool, offset uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, daemon.Internal+"/readyz", nil)
	if err != nil {
		return false, 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return false, 0, err
	}
	var word struct {
		ConfigOffset uint64 `json:"config_offset"`
	}
	err = json.Unmarshal(body, &word)
	return response.StatusCode == http.StatusOK, word.ConfigOffset, err
}

const publishTimeout = 20 * time.Second

// operatorsRace publishes two changes of one version through two daemons at
// once. At most one may be accepted.
func (one *run) operatorsRace() {
	if !one.claim("policy") {
		return
	}
	first := one.random.IntN(len(one.floor.Daemons))
	marker := one.random.Uint64()
	one.healing.Add(1)
	go func() {
		defer one.healing.Done()
		defer one.release("policy")
		base, known := one.offsetInForce(first)
		if !known {
			return
		}
		results := make(chan bool, 2)
		for racer := range 2 {
			go func() { results <- one.publish(first+racer, fmt.Sprintf("%x-%d", marker, racer), base) }()
		}
		accepted := 0
		for range 2 {
			if <-results {
				accepted++
			}
		}
		one.ledger.Check(workload.Configuration, accepted <= 1, "two changes of the same version were both accepted")
	}()
}

// publishOne publishes one change through a daemon in the background.
func (one *run) publishOne(index int) {
	if !one.claim("policy") {
		return
	}
	marker := one.random.Uint64()
	one.healing.Add(1)
	go func() {
		defer one.healing.Done()
		defer one.release("policy")
		if base, known := one.offsetInForce(index); known {
			one.publish(index, fmt.Sprintf("%x", marker), base)
		}
	}()
}

// offsetInForce asks a daemon for the offset of the site's document.
func (one *run) offsetInForce(index int) (uint64, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	var answer struct {
		Documents []struct {
			Name   string `json:"name"`
			Offset uint64 `json:"offset"`
		} `json:"documents"`
	}
	if one.floor.Operator(index).JSON(ctx, http.MethodGet, "/v1/policies", nil, &answer) != nil {
		return 0, false
	}
	for _, document := range answer.Documents {
		if document.Name == one.options.Site.Name {
			return document.Offset, true
		}
	}
	return 0, false
}

func (one *run) publish(index int, marker string, replaces uint64) bool {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	body := struct {
		Name     string `json:"name"`
		Source   string `json:"source"`
		Replaces uint64 `json:"replaces"`
	}{one.options.Site.Name, one.options.Site.Policy + "\n# change " + marker + "\n", replaces}
	var publication operator.Publication
	err := one.floor.Operator(index).JSON(ctx, http.MethodPost, "/v1/policies", body, &publication)
	if err != nil {
		return false
	}
	one.watch.accept(publication.Offset)
	return true
}
