// Package machinestand is the stand-in for the platform's machine list, which
// shows each change only after a lag.
package machinestand

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"woodworks/internal/platform/machinelist"
)

type change struct {
	machine   machinelist.Machine
	visibleAt time.Time
}

// List is the stand-in. It is safe for concurrent use.
type List struct {
	mutex   sync.Mutex
	lag     time.Duration
	changes []change
}

// New returns an empty list with a lag.
func New(lag time.Duration) *List { return &List{lag: lag} }

// Routes returns the protocol of package machinelist and the admin's change.
func (list *List) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/v1/machines", Handler: list.read},
		{Method: http.MethodPost, Path: "/admin/machines", Handler: list.put},
	}
}

// put takes in a machine's new state.
func (list *List) put(writer http.ResponseWriter, request *http.Request) {
	var machine machinelist.Machine
	if err := json.NewDecoder(request.Body).Decode(&machine); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	list.mutex.Lock()
	defer list.mutex.Unlock()
	machine.Revision = uint64(len(list.changes)) + 1
	list.changes = append(list.changes, change{machine: machine, visibleAt: time.Now().Add(list.lag)})
	_, _ = writer.Write([]byte("{}\n"))
}

func (list *List) read(writer http.ResponseWriter, request *http.Request) {
	since, err := strconv.ParseUint(request.URL.Query().Get("since"), 10, 64)
	if err != nil {
		http.Error(writer, "since: not a revision", http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(writer).Encode(list.since(since, time.Now()))
}

// since returns the newest visible entry of each machine changed after a
// revision.
func (list *List) since(revision uint64, now time.Time) machinelist.Changes {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	newest := map[string]machinelist.Machine{}
	answer := machinelist.Changes{Revision: revision}
	for _, entry := range list.changes {
		if entry.visibleAt.After(now) {
			break
		}
		if entry.machine.Revision > revision {
			newest[entry.machine.Name] = entry.machine
			answer.Revision = entry.machine.Revision
		}
	}
	for _, machine := range newest {
		answer.Machines = append(answer.Machines, machine)
	}
	return answer
}
