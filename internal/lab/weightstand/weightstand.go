// Package weightstand is the stand-in for the platform's rate-limited weight
// store.
package weightstand

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"
	"golang.org/x/time/rate"
)

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	limiter *rate.Limiter
	down    atomic.Bool
}

// New returns a store that hands out at most perSecond artifacts a second.
func New(perSecond float64) *Store {
	return &Store{limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

// Faults is what the store suffers from.
type Faults struct {
	Down bool `json:"down"`
}

// Routes returns the store's protocol: GET /artifacts/NAME answers the
// artifact, or 429 with Retry-After in seconds.
func (store *Store) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/artifacts/:name", Handler: store.get},
		{Method: http.MethodPost, Path: "/admin/faults", Handler: store.setFaults},
	}
}

func (store *Store) setFaults(writer http.ResponseWriter, request *http.Request) {
	var faults Faults
	if err := json.NewDecoder(request.Body).Decode(&faults); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	store.down.Store(faults.Down)
	_, _ = writer.Write([]byte("{}\n"))
}

func (store *Store) get(writer http.ResponseWriter, request *http.Request) {
	if store.down.Load() {
		panic(http.ErrAbortHandler)
	}
	reservation := store.limiter.Reserve()
	if delay := reservation.Delay(); delay > 0 {
		reservation.Cancel()
		writer.Header().Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 3, 64))
		http.Error(writer, "rate limit", http.StatusTooManyRequests)
		return
	}
	_, _ = writer.Write([]byte(pathvar.Vars(request)["name"] + " " + time.Now().UTC().Format(time.RFC3339) + "\n"))
}
