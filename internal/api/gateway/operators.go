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
	// publishTimeout bounds a publication until it is in force at this daemon.
	publishTimeout = 15 * time.Second
	forcePause     = 20 * time.Millisecond
)

// replicaStatus is what this daemon believes of a back end.
type replicaStatus struct {
	ID       string           `json:"id"`
	Service  string           `json:"service"`
	Address  string           `json:"address"`
	Zone     string           `json:"zone"`
	Draining bool             `json:"draining"`
	InFlight int              `json:"in_flight"`
	Versions map[string]int64 `json:"versions"`
}

// Status is one daemon's view.
type Status struct {
	Daemon               string           `json:"daemon"`
	Ready                bool             `json:"ready"`
	Reason               string           `json:"reason,omitempty"`
	ConfigurationVersion int64            `json:"configuration_version"`
	ConfigurationAgeMs   int64            `json:"configuration_age_ms"`
	Named                map[string]int64 `json:"named"`
	Replicas             []replicaStatus  `json:"replicas"`
}

func (g *Gateway) status(w http.ResponseWriter, _ *http.Request, _ policy.Caller) {
	configuration, _ := g.parts.Configuration()
	ready, reason := g.parts.Ready()
	status := Status{
		Daemon: g.parts.Identity, Ready: ready, Reason: reason, Named: configuration.Named, Replicas: []replicaStatus{},
		ConfigurationVersion: configuration.Version, ConfigurationAgeMs: configuration.Age.Milliseconds(),
	}
	for _, v := range g.parts.Replicas.All() {
		status.Replicas = append(status.Replicas, replicaStatus{
			ID: v.ID, Service: v.Service, Address: v.Address.String(), Zone: v.Zone,
			Draining: v.Draining, InFlight: v.InFlight, Versions: v.Versions,
		})
	}
	sort.Slice(status.Replicas, func(i, j int) bool { return status.Replicas[i].ID < status.Replicas[j].ID })
	writeJSON(w, http.StatusOK, status)
}

// PolicyDocument is one document in force.
type PolicyDocument struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Author  string `json:"author"`
	Source  string `json:"source"`
}

// PolicyChange is one configuration that the log still has.
type PolicyChange struct {
	Version int64  `json:"version"`
	Changed string `json:"changed"`
	Author  string `json:"author"`
}

// PolicyList is the answer to GET /v1/policies.
type PolicyList struct {
	Version   int64            `json:"version"`
	Documents []PolicyDocument `json:"documents"`
	History   []PolicyChange   `json:"history"`
}

func (g *Gateway) policies(w http.ResponseWriter, r *http.Request, _ policy.Caller) {
	current, err := g.parts.Operator.Current(r.Context())
	if err != nil {
		refuse(w, refusal.V1LogUnavailable, err.Error())
		return
	}
	history, err := g.parts.Operator.History(r.Context())
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
	// Replaces is the version of the document that the author saw; absent means
	// the one in force.
	Replaces *int64 `json:"replaces,omitempty"`
}

// publishPolicy answers once the change is in force at this daemon.
func (g *Gateway) publishPolicy(w http.ResponseWriter, r *http.Request, caller policy.Caller) {
	var req PublishRequest
	if !decodeJSON(w, r, &req) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	published, err := g.parts.Operator.Publish(ctx, operator.Change{Name: req.Name, Author: caller.Name, Source: req.Source,
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
		writeDone(w, http.StatusOK, published)
	}
}

// awaitInForce waits until a configuration, or a newer one, is in force here.
func (g *Gateway) awaitInForce(ctx context.Context, version int64) bool {
	for {
		if configuration, ok := g.parts.Configuration(); ok && configuration.Version >= version {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(forcePause):
		}
	}
}

// DrainRequest is the body of POST /v1/drains.
type DrainRequest struct {
	Machine string `json:"machine"`
	// Undo takes an earlier order back.
	Undo bool `json:"undo,omitempty"`
}

type drainAnswer struct {
	Machine  string `json:"machine"`
	Draining bool   `json:"draining"`
}

func (g *Gateway) drain(w http.ResponseWriter, r *http.Request, _ policy.Caller) {
	var req DrainRequest
	if !decodeJSON(w, r, &req) {
		return
	}
	err := g.parts.Operator.SetDraining(r.Context(), req.Machine, !req.Undo)
	switch {
	case err == nil:
		writeDone(w, http.StatusOK, drainAnswer{Machine: req.Machine, Draining: !req.Undo})
	case errors.Is(err, operator.ErrMachineNotListed):
		writeProblem(w, Problem{status: http.StatusNotFound, Code: "unknown_machine", Field: "machine",
			Message: "machine: " + err.Error()})
	case errors.Is(err, operator.ErrOutcomeUnknown):
		refuse(w, refusal.V1LogOutcomeUnknown, err.Error())
	default:
		refuse(w, refusal.V1LogUnavailable, err.Error())
	}
}
