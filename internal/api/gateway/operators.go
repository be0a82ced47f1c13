package gateway

import (
	"context"
	"net/http"
	"sort"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/api/operator"
	"woodworks/internal/api/policy"
	"woodworks/internal/requests/refusal"
)

const (
	// publishTimeout bounds a publication, including the wait until it is in force at this daemon.
	publishTimeout = 15 * time.Second
	// inForcePollInterval is the time between checks whether a publication is in force.
	inForcePollInterval = 20 * time.Millisecond
)

// replicaStatus is a replica as this daemon knows it.
type replicaStatus struct {
	ID       string           `json:"id"`
	Service  string           `json:"service"`
	Address  string           `json:"address"`
	Zone     string           `json:"zone"`
	Draining bool             `json:"draining"`
	InFlight int              `json:"in_flight"`
	Versions map[string]int64 `json:"versions"`
}

// Status is the answer to GET /v1/status. It holds what this daemon knows, which may differ from
// what other daemons know.
type Status struct {
	Daemon               string           `json:"daemon"`
	Ready                bool             `json:"ready"`
	Reason               string           `json:"reason,omitempty"`
	ConfigurationVersion int64            `json:"configuration_version"`
	ConfigurationAgeMs   int64            `json:"configuration_age_ms"`
	NewestVersions       map[string]int64 `json:"named"`
	Replicas             []replicaStatus  `json:"replicas"`
}

func (g *Gateway) status(w http.ResponseWriter, _ *http.Request, _ policy.Caller) {
	configuration, _ := g.deps.Configuration()
	ready, reason := g.deps.Ready()
	status := Status{
		Daemon: g.deps.Identity, Ready: ready, Reason: reason, NewestVersions: configuration.NewestVersions, Replicas: []replicaStatus{},
		ConfigurationVersion: configuration.Version, ConfigurationAgeMs: configuration.Age.Milliseconds(),
	}
	for _, v := range g.deps.Replicas.All() {
		status.Replicas = append(status.Replicas, replicaStatus{
			ID: v.ID, Service: v.Service, Address: v.Address.String(), Zone: v.Zone,
			Draining: v.Draining, InFlight: v.InFlight, Versions: v.Versions,
		})
	}
	sort.Slice(status.Replicas, func(i, j int) bool { return status.Replicas[i].ID < status.Replicas[j].ID })
	writeJSON(w, http.StatusOK, status)
}

// PolicyDocument is a policy document in force.
type PolicyDocument struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Author  string `json:"author"`
	Source  string `json:"source"`
}

// PolicyChange describes a configuration that the log still holds: its version, the document that
// it changed, and the author of the change.
type PolicyChange struct {
	Version int64  `json:"version"`
	Changed string `json:"changed"`
	Author  string `json:"author"`
}

// PolicyList is the answer to GET /v1/policies. History has the oldest configuration first.
type PolicyList struct {
	Version   int64            `json:"version"`
	Documents []PolicyDocument `json:"documents"`
	History   []PolicyChange   `json:"history"`
}

func (g *Gateway) policies(w http.ResponseWriter, r *http.Request, _ policy.Caller) {
	current, err := g.deps.Operator.Current(r.Context())
	if err != nil {
		refuse(w, refusal.V1LogUnavailable, err.Error())
		return
	}
	history, err := g.deps.Operator.History(r.Context())
	if err != nil {
		refuse(w, refusal.V1LogUnavailable, err.Error())
		return
	}
	list := PolicyList{Version: current.Version, Documents: []PolicyDocument{}, History: []PolicyChange{}}
	for name, document := range current.Documents {
		list.Documents = append(list.Documents, PolicyDocument{Name: name, Version: document.Version, Author: document.Author,
			Source: document.Source})
	}
	sort.Slice(list.Documents, func(i, j int) bool { return list.Documents[i].Name < list.Documents[j].Name })
	for _, v := range history {
		list.History = append(list.History, PolicyChange{Version: v.Version, Changed: v.Changed, Author: v.Documents[v.Changed].Author})
	}
	writeJSON(w, http.StatusOK, list)
}

// PublishRequest is the body of POST /v1/policies.
type PublishRequest struct {
	Name   string `json:"name"`
	Source string `json:"source"`
	// Replaces is the version of the document that the author has edited, 0 for a new document. If
	// it is absent, the document in force is replaced.
	Replaces *int64 `json:"replaces,omitempty"`
}

// publishPolicy publishes a policy document. It answers once the change is in force at this daemon,
// or with a refusal after publishTimeout.
func (g *Gateway) publishPolicy(w http.ResponseWriter, r *http.Request, caller policy.Caller) {
	var req PublishRequest
	if !decodeJSON(w, r, &req) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	published, err := g.deps.Operator.Publish(ctx, operator.Change{Name: req.Name, Author: caller.Name, Source: req.Source,
		Replaces: req.Replaces})
	switch {
	case errors.Is(err, operator.ErrInvalid):
		writeProblem(w, Problem{status: http.StatusUnprocessableEntity, Code: "policy_invalid", Field: "source",
			Message: err.Error()})
	case errors.Is(err, operator.ErrConflict):
		writeProblem(w, Problem{status: http.StatusConflict, Code: "policy_conflict", Field: "replaces",
			Message: err.Error()})
	case errors.Is(err, operator.ErrNotDone):
		refuse(w, refusal.V1LogUnavailable, err.Error())
	case err != nil:
		refuse(w, refusal.V1LogOutcomeUnknown, err.Error())
	case !g.awaitInForce(ctx, published.Version):
		refuse(w, refusal.V1PolicyPending, "the policy is in the log but not yet in force at this daemon")
	default:
		writeCompleted(w, http.StatusOK, published)
	}
}

// awaitInForce waits until this configuration version, or a newer one, is in force at this daemon.
// It returns false if ctx ends first.
func (g *Gateway) awaitInForce(ctx context.Context, version int64) bool {
	for {
		if configuration, ok := g.deps.Configuration(); ok && configuration.Version >= version {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(inForcePollInterval):
		}
	}
}

// DrainRequest is the body of POST /v1/drains.
type DrainRequest struct {
	Machine string `json:"machine"`
	// Undo cancels an earlier drain of the machine.
	Undo bool `json:"undo,omitempty"`
}

type drainResponse struct {
	Machine  string `json:"machine"`
	Draining bool   `json:"draining"`
}

func (g *Gateway) drain(w http.ResponseWriter, r *http.Request, _ policy.Caller) {
	var req DrainRequest
	if !decodeJSON(w, r, &req) {
		return
	}
	err := g.deps.Operator.SetDraining(r.Context(), req.Machine, !req.Undo)
	switch {
	case err == nil:
		writeCompleted(w, http.StatusOK, drainResponse{Machine: req.Machine, Draining: !req.Undo})
	case errors.Is(err, operator.ErrMachineNotListed):
		writeProblem(w, Problem{status: http.StatusNotFound, Code: "unknown_machine", Field: "machine",
			Message: "machine: " + err.Error()})
	case errors.Is(err, operator.ErrOutcomeUnknown):
		refuse(w, refusal.V1LogOutcomeUnknown, err.Error())
	default:
		refuse(w, refusal.V1LogUnavailable, err.Error())
	}
}
