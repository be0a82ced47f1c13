package chunkhome

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/rollout"
)

// PlaceReply answers the placing of a chunk.
type PlaceReply struct {
	Conflict bool
	Full     bool
}

// AwaitRequest waits for results of a chunk.
type AwaitRequest struct {
	ID      rollout.ChunkID
	Taken   []int
	Version uint64
	Wait    time.Duration
}

// AwaitReply says how the chunk stands.
type AwaitReply struct {
	Known bool
	Ready int
	Open  int
}

// CollectRequest asks for results of a chunk.
type CollectRequest struct {
	ID      rollout.ChunkID
	Taken   []int
	Version uint64
	Limit   int
}

// CollectReply holds them.
type CollectReply struct {
	ID      rollout.ChunkID
	Known   bool
	Results []rollout.Result
}

// OfferRequest asks what a daemon holds of a chunk.
type OfferRequest struct{ ID rollout.ChunkID }

// MergeReply answers a snapshot; Refusal is empty if it was taken in.
type MergeReply struct{ Refusal string }

// FindRequest asks for the header of a batch.
type FindRequest struct {
	Trainer string
	Name    string
}

// FindReply holds it.
type FindReply struct {
	Known  bool
	Header rollout.Header
}

// Handler answers peers' calls.
type Handler struct{ home *Home }

// Handler returns the receiver to register under RPCName.
func (home *Home) Handler() *Handler { return &Handler{home: home} }

// Place takes in a chunk.
func (handler *Handler) Place(spec rollout.ChunkSpec, reply *PlaceReply) error {
	err := handler.home.Place(spec)
	reply.Conflict = errors.Is(err, ErrConflict)
	reply.Full = errors.Is(err, ErrFull)
	return nil
}

// Await waits for results.
func (handler *Handler) Await(request AwaitRequest, reply *AwaitReply) error {
	ctx, cancel := context.WithTimeout(handler.home.context, request.Wait)
	defer cancel()
	reply.Ready, reply.Open, reply.Known = handler.home.Await(ctx, request.ID, request.Taken, request.Version)
	return nil
}

// Collect hands out results.
func (handler *Handler) Collect(request CollectRequest, reply *CollectReply) error {
	reply.ID = request.ID
	reply.Results, reply.Known = handler.home.Collect(handler.home.context, request.ID, request.Taken, request.Version, request.Limit)
	return nil
}

// Offer says what this daemon holds.
func (handler *Handler) Offer(request OfferRequest, reply *rollout.Held) error {
	home := handler.home
	home.mutex.Lock()
	defer home.mutex.Unlock()
	if one, known := home.chunks[request.ID]; known {
		*reply = one.chunk.Held()
	}
	return nil
}

// Merge takes in what another holder has.
func (handler *Handler) Merge(snapshot rollout.Snapshot, reply *MergeReply) error {
	home := handler.home
	if err := home.Place(snapshot.Spec); err != nil {
		reply.Refusal = err.Error()
		return nil
	}
	home.mutex.Lock()
	defer home.mutex.Unlock()
	one, known := home.chunks[snapshot.Spec.ID]
	if !known {
		reply.Refusal = "chunks: chunk was dropped meanwhile"
		return nil
	}
	one.chunk.Merge(snapshot)
	one.signal()
	return nil
}

// Find returns the header of a batch.
func (handler *Handler) Find(request FindRequest, reply *FindReply) error {
	reply.Header, reply.Known = handler.home.Find(request.Trainer, request.Name)
	return nil
}
