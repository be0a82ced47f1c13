// Package delivery is the entry side of rollouts: any daemon takes in a batch,
// spreads its chunks over their homes, and hands finished samples to the
// trainer. It keeps nothing between two requests; what was delivered is in the
// trainer's cursor.
package delivery

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/announce"
	"woodworks/internal/chunkhome"
	"woodworks/internal/membership"
	"woodworks/internal/peer"
	"woodworks/internal/policy"
	"woodworks/internal/rollout"
)

// Errors of this layer.
var (
	// ErrConflict means that another batch has the name.
	ErrConflict = errors.New("delivery: the name belongs to a batch with other content")
	// ErrUnknownBatch means that no daemon holds the batch, or a part of it.
	ErrUnknownBatch = errors.New("delivery: no daemon holds this batch whole")
	// ErrNotPlaced means that no chunk of the batch was taken in.
	ErrNotPlaced = errors.New("delivery: the batch was not taken in")
	// ErrPartlyPlaced means that some chunks were taken in and may run.
	ErrPartlyPlaced = errors.New("delivery: the batch was taken in only in part")
)

const (
	placeTimeout = 3 * time.Second
	findTimeout  = time.Second
	// holderTries is how many daemons in rank are asked for a chunk.
	holderTries = 3
	// awaitSlack is added to a wait before the call is given up.
	awaitSlack = time.Second
	// linger gathers results that finish close together into one answer.
	linger = 15 * time.Millisecond
	// placeConcurrency bounds the chunks placed at a time.
	placeConcurrency = 16
)

// Peers is what this package needs of the membership.
type Peers interface {
	Self() membership.Member
	Serving() []membership.Member
	Members() []membership.Member
}

// Policies gives the policies in force.
type Policies interface{ Policy() *policy.Set }

// Desk takes in batches and delivers samples. It is safe for concurrent use.
type Desk struct {
	peers    Peers
	policies Policies
	board    *announce.Board
	home     *chunkhome.Home
	pool     *peer.Pool
	// chunkSamples is the size of the chunks of batches taken in here.
	chunkSamples int
}

// New returns a desk.
func New(peers Peers, policies Policies, board *announce.Board, home *chunkhome.Home, pool *peer.Pool, chunkSamples int) *Desk {
	return &Desk{peers: peers, policies: policies, board: board, home: home, pool: pool, chunkSamples: chunkSamples}
}

// Submit takes in a checked request. Submitting the same request again is
// harmless, also while it runs.
func (desk *Desk) Submit(ctx context.Context, request rollout.Request) (rollout.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	header := rollout.HeaderOf(request, desk.chunkSamples)
	if existing, err := desk.Find(ctx, request.Trainer, request.Name); err == nil {
		if existing.Digest != header.Digest {
			return rollout.Header{}, ErrConflict
		}
		header = existing
	}
	// The first chunk settles who has the name before others are placed.
	if err := desk.place(ctx, rollout.SpecOf(request, header, 0)); err != nil {
		return rollout.Header{}, err
	}
	if err := desk.placeRest(ctx, request, header); err != nil {
		return rollout.Header{}, errors.Wrap(ErrPartlyPlaced, err.Error())
	}
	return header, nil
}

func (desk *Desk) placeRest(ctx context.Context, request rollout.Request, header rollout.Header) error {
	tokens := make(chan struct{}, placeConcurrency)
	failures := make(chan error, header.Chunks())
	var placing sync.WaitGroup
	for index := 1; index < header.Chunks(); index++ {
		tokens <- struct{}{}
		placing.Add(1)
		go func() {
			defer placing.Done()
			defer func() { <-tokens }()
			if err := desk.place(ctx, rollout.SpecOf(request, header, index)); err != nil {
				failures <- err
			}
		}()
	}
	placing.Wait()
	close(failures)
	return <-failures
}

// place gives a chunk to its home and to the holder of the copy. It succeeds
// if two daemons hold it, or the only one there is.
func (desk *Desk) place(ctx context.Context, spec rollout.ChunkSpec) error {
	holders := chunkhome.Holders(spec.ID, desk.peers.Serving())
	wanted := min(2, len(holders))
	placed := 0
	for _, holder := range holders {
		reply, err := desk.placeAt(ctx, holder, spec)
		if err == nil && reply.Conflict {
			return ErrConflict
		}
		if err == nil && !reply.Full {
			placed++
		}
		if placed == wanted {
			return nil
		}
	}
	if placed == 0 {
		return ErrNotPlaced
	}
	// One holder is enough to go on; it copies the chunk when it can.
	return nil
}

func (desk *Desk) placeAt(ctx context.Context, holder membership.Member, spec rollout.ChunkSpec) (chunkhome.PlaceReply, error) {
	if holder.ID == desk.peers.Self().ID {
		err := desk.home.Place(spec)
		return chunkhome.PlaceReply{
			Conflict: errors.Is(err, chunkhome.ErrConflict),
			Full:     errors.Is(err, chunkhome.ErrFull),
		}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	return ask[chunkhome.PlaceReply](ctx, desk, holder, "Place", spec)
}

func ask[Reply any](ctx context.Context, desk *Desk, holder membership.Member, method string, request any) (Reply, error) {
	return peer.Ask[Reply](ctx, desk.pool, holder.Address, peer.Bulk, chunkhome.RPCName+"."+method, request)
}

// holders returns the daemons that may hold a chunk: first those that should,
// then leaving ones that may not have handed it over yet.
func (desk *Desk) holders(id rollout.ChunkID) []membership.Member {
	holders := chunkhome.Holders(id, desk.peers.Serving())
	holders = holders[:min(holderTries, len(holders))]
	for _, member := range desk.peers.Members() {
		if member.Reachable() && member.Leaving {
			holders = append(holders, member)
		}
	}
	return holders
}

// Find returns the header of a batch.
func (desk *Desk) Find(ctx context.Context, trainer, name string) (rollout.Header, error) {
	first := rollout.ChunkID{Trainer: trainer, Name: name}
	for _, holder := range desk.holders(first) {
		if holder.ID == desk.peers.Self().ID {
			if header, known := desk.home.Find(trainer, name); known {
				return header, nil
			}
			continue
		}
		callContext, cancel := context.WithTimeout(ctx, findTimeout)
		reply, err := ask[chunkhome.FindReply](callContext, desk, holder, "Find", chunkhome.FindRequest{Trainer: trainer, Name: name})
		cancel()
		if err == nil && reply.Known {
			return reply.Header, nil
		}
	}
	return rollout.Header{}, ErrUnknownBatch
}

// Pull is a trainer's request for samples.
type Pull struct {
	Cursor rollout.Cursor
	// Version is the weight version that the trainer now trains.
	Version uint64
	// Limit is the most samples in one answer.
	Limit int
	Wait  time.Duration
}

// Delivery is the answer to a pull.
type Delivery struct {
	Samples []rollout.Result
	// Cursor is what the next pull must carry to acknowledge these samples.
	Cursor rollout.Cursor
	// Open is how many samples of the batch the trainer still lacks after this.
	Open int
}

// Deliver waits for samples and returns them. It returns an empty delivery if
// none became ready in time. The judgement by the policy is made again here,
// right before the answer, as this daemon may have been paused since the home
// made it.
func (desk *Desk) Deliver(ctx context.Context, pull Pull) (Delivery, error) {
	deadline := time.Now().Add(pull.Wait)
	header := pull.Cursor.Header
	empty := Delivery{Cursor: pull.Cursor, Open: header.Samples - pull.Cursor.Count()}
	if empty.Open == 0 {
		return empty, nil
	}
	for {
		// A home that has not yet heard of a newer version learns it here.
		announced, _ := desk.board.TrainerVersionOf(header.Trainer)
		pull.Version = max(pull.Version, announced)
		ready, err := desk.awaitAny(ctx, pull, time.Until(deadline))
		if err != nil {
			return Delivery{}, err
		}
		results := desk.acceptable(header, pull, desk.collect(ctx, pull, ready))
		if len(results) > 0 {
			return handOver(pull, results), nil
		}
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			return empty, nil
		}
	}
}

func handOver(pull Pull, results []rollout.Result) Delivery {
	sort.Slice(results, func(i, j int) bool { return results[i].Index < results[j].Index })
	indices := make([]int, len(results))
	for i, result := range results {
		indices[i] = result.Index
	}
	cursor := pull.Cursor.Take(indices...)
	return Delivery{Samples: results, Cursor: cursor, Open: cursor.Header.Samples - cursor.Count()}
}

// acceptable keeps the results that the trainer lacks, may still be given, and
// has not been given in this answer.
func (desk *Desk) acceptable(header rollout.Header, pull Pull, results []rollout.Result) []rollout.Result {
	announced, _ := desk.board.TrainerVersionOf(header.Trainer)
	judge := chunkhome.Judge(desk.policies.Policy(), header.Trainer, 0, max(announced, pull.Version))
	seen := map[int]bool{}
	var kept []rollout.Result
	for _, result := range results {
		valid := result.Index >= 0 && result.Index < header.Samples
		if !valid || seen[result.Index] || pull.Cursor.Taken(result.Index) || !judge(result.OldestVersion()) {
			continue
		}
		seen[result.Index] = true
		kept = append(kept, result)
	}
	return kept
}

// located is a chunk with results, and where.
type located struct {
	id     rollout.ChunkID
	holder membership.Member
}

// awaitAny waits until some chunk has results, and returns those that have. It
// fails if a chunk with open samples is held nowhere.
func (desk *Desk) awaitAny(ctx context.Context, pull Pull, wait time.Duration) ([]located, error) {
	ctx, cancel := context.WithTimeout(ctx, max(wait, 0)+awaitSlack)
	defer cancel()
	header := pull.Cursor.Header
	type answer struct {
		found located
		reply chunkhome.AwaitReply
	}
	answers := make(chan answer, header.Chunks())
	asked := 0
	for index := range header.Chunks() {
		first, end := header.ChunkRange(index)
		taken := pull.Cursor.TakenIn(index)
		if len(taken) == end-first {
			continue
		}
		asked++
		go func() {
			request := chunkhome.AwaitRequest{ID: header.ChunkID(index), Taken: taken, Version: pull.Version, Wait: max(wait, 0)}
			holder, reply := desk.awaitChunk(ctx, request)
			answers <- answer{found: located{id: request.ID, holder: holder}, reply: reply}
		}()
	}
	var ready []located
	unknown := 0
	var lingerOver <-chan time.Time
	for received := 0; received < asked; received++ {
		select {
		case got := <-answers:
			if !got.reply.Known {
				unknown++
			}
			if got.reply.Ready > 0 {
				ready = append(ready, got.found)
			}
			if len(ready) == 1 && lingerOver == nil {
				lingerOver = time.After(linger)
			}
		case <-lingerOver:
			return ready, nil
		}
	}
	if len(ready) == 0 && unknown > 0 && ctx.Err() == nil {
		return nil, ErrUnknownBatch
	}
	return ready, nil
}

// awaitChunk waits at the first daemon in rank that holds the chunk.
func (desk *Desk) awaitChunk(ctx context.Context, request chunkhome.AwaitRequest) (membership.Member, chunkhome.AwaitReply) {
	for _, holder := range desk.holders(request.ID) {
		if holder.ID == desk.peers.Self().ID {
			waitContext, cancel := context.WithTimeout(ctx, request.Wait)
			ready, open, known := desk.home.Await(waitContext, request.ID, request.Taken, request.Version)
			cancel()
			if known {
				return holder, chunkhome.AwaitReply{Known: true, Ready: ready, Open: open}
			}
			continue
		}
		reply, err := ask[chunkhome.AwaitReply](ctx, desk, holder, "Await", request)
		if err == nil && reply.Known {
			return holder, reply
		}
	}
	return membership.Member{}, chunkhome.AwaitReply{}
}

// collect fetches results from the chunks that have some.
func (desk *Desk) collect(ctx context.Context, pull Pull, ready []located) []rollout.Result {
	ctx, cancel := context.WithTimeout(ctx, placeTimeout)
	defer cancel()
	parts := make(chan []rollout.Result, len(ready))
	for _, chunk := range ready {
		go func() { parts <- desk.collectChunk(ctx, pull, chunk) }()
	}
	var results []rollout.Result
	for range ready {
		for _, result := range <-parts {
			if len(results) < pull.Limit {
				results = append(results, result)
			}
		}
	}
	return results
}

func (desk *Desk) collectChunk(ctx context.Context, pull Pull, chunk located) []rollout.Result {
	taken := pull.Cursor.TakenIn(chunk.id.Index)
	if chunk.holder.ID == desk.peers.Self().ID {
		results, _ := desk.home.Collect(ctx, chunk.id, taken, pull.Version, pull.Limit)
		return results
	}
	request := chunkhome.CollectRequest{ID: chunk.id, Taken: taken, Version: pull.Version, Limit: pull.Limit}
	reply, err := ask[chunkhome.CollectReply](ctx, desk, chunk.holder, "Collect", request)
	if err != nil || reply.ID != chunk.id {
		return nil
	}
	return reply.Results
}
