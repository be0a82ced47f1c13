// Package logstand is the stand-in for the platform's append-only log.
package logstand

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"woodworks/internal/catalog"
	"woodworks/internal/platform/logservice"
)

// Faults is what the log suffers from; POST /admin/faults replaces it.
type Faults struct {
	// Down cuts every request off without an answer.
	Down bool `json:"down"`
	// SlowMillis delays every answer.
	SlowMillis int `json:"slow_ms"`
	// LoseAnswers is the share of appends that take effect and are then cut off.
	LoseAnswers float64 `json:"lose_answers"`
	// RefuseFrom cuts off requests from these IP addresses.
	RefuseFrom []string `json:"refuse_from"`
}

// Log is the stand-in. It is safe for concurrent use.
type Log struct {
	mutex   sync.Mutex
	records []catalog.Record
	grown   chan struct{}
	faults  Faults
	random  *rand.Rand
}

// New returns an empty log whose faults are drawn from the seed.
func New(seed uint64) *Log {
	return &Log{grown: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 1))}
}

// Routes returns the protocol of package logservice and the fault switch.
func (log *Log) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/append", Handler: log.append},
		{Method: http.MethodGet, Path: "/v1/read", Handler: log.read},
		{Method: http.MethodPost, Path: "/admin/faults", Handler: log.setFaults},
	}
}

func (log *Log) setFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	log.mutex.Lock()
	log.faults = faults
	log.mutex.Unlock()
	_, _ = writer.Write([]byte("{}\n"))
}

// suffer applies the faults that come before a request takes effect.
func (log *Log) suffer(request *http.Request) {
	log.mutex.Lock()
	faults := log.faults
	log.mutex.Unlock()
	if faults.SlowMillis > 0 {
		time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
	}
	host, _, _ := net.SplitHostPort(request.RemoteAddr)
	for _, refused := range faults.RefuseFrom {
		if host == refused {
			panic(http.ErrAbortHandler)
		}
	}
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
}

func (log *Log) append(writer http.ResponseWriter, request *http.Request) {
	log.suffer(request)
	var wanted logservice.AppendRequest
	if err := json.NewDecoder(request.Body).Decode(&wanted); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	log.mutex.Lock()
	offset := uint64(len(log.records)) + 1
	log.records = append(log.records, catalog.Record{Offset: offset, ID: wanted.ID, Kind: wanted.Kind, Payload: wanted.Payload})
	close(log.grown)
	log.grown = make(chan struct{})
	lose := log.random.Float64() < log.faults.LoseAnswers
	log.mutex.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(writer).Encode(logservice.AppendAnswer{Offset: offset})
}

func (log *Log) read(writer http.ResponseWriter, request *http.Request) {
	log.suffer(request)
	query := request.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil || from < 1 {
		http.Error(writer, "from: not an offset", http.StatusBadRequest)
		return
	}
	limit, _ := strconv.Atoi(query.Get("limit"))
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		answer, grown := log.from(from, max(limit, 1))
		if len(answer.Records) > 0 || wait <= 0 {
			log.suffer(request)
			_ = json.NewEncoder(writer).Encode(answer)
			return
		}
		select {
		case <-grown:
		case <-timeout:
			wait = 0
		case <-request.Context().Done():
			return
		}
	}
}

func (log *Log) from(offset uint64, limit int) (logservice.ReadAnswer, <-chan struct{}) {
	log.mutex.Lock()
	defer log.mutex.Unlock()
	answer := logservice.ReadAnswer{Head: uint64(len(log.records))}
	if offset <= answer.Head {
		end := min(offset-1+uint64(limit), answer.Head)
		answer.Records = append(answer.Records, log.records[offset-1:end]...)
	}
	return answer, log.grown
}
