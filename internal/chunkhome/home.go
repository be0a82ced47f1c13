// Package chunkhome keeps and generates chunks of batches.
//
// A chunk's home is the serving daemon that ranks first for it; a second
// daemon, in another zone where there is one, holds a copy. When the home dies
// or leaves, the next in rank goes on from the copy. Two daemons that both
// believe to be home waste work, but cannot double a sample: what was
// delivered is in the trainer's cursor.
package chunkhome

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/announce"
	"woodworks/internal/dispatch"
	"woodworks/internal/fleet"
	"woodworks/internal/membership"
	"woodworks/internal/peer"
	"woodworks/internal/policy"
	"woodworks/internal/rendezvous"
	"woodworks/internal/rollout"
)

// RPCName is the name under which Handler answers peers.
const RPCName = "Chunks"

const (
	maintainInterval = 200 * time.Millisecond
	callTimeout      = 2 * time.Second
	// verifyInterval is how often a copy that should be complete is checked.
	verifyInterval = 5 * time.Second
	// deliverySyncTimeout bounds how long a delivery waits for the copy.
	deliverySyncTimeout = 500 * time.Millisecond
)

// Peers is what this package needs of the membership.
type Peers interface {
	Self() membership.Member
	Serving() []membership.Member
	Changed() <-chan struct{}
}

// Catalog is what this package needs of the configuration.
type Catalog interface {
	Policy() *policy.Set
	// ConfirmationAge bounds how long a cut-off daemon starts new work.
	ConfirmationAge() (time.Duration, bool)
}

// Limits bounds what a Home holds.
type Limits struct {
	MaxChunks    int
	Retention    time.Duration
	ConfirmBound time.Duration
}

// held is one chunk with what surrounds it.
type held struct {
	chunk *rollout.Chunk
	// active is true while this daemon generates the chunk.
	active      bool
	lastTouched time.Time
	// statedVersion is the newest version that the trainer said it trains.
	statedVersion uint64
	// edition counts changes, to see which copies lack something.
	edition uint64
	copies  map[membership.NodeID]copyState
	cancels map[string]context.CancelFunc
	// running holds the tries that are on an engine, avoid the machine that a
	// sample has just been moved away from.
	running map[string]running
	avoid   map[int]string
	changed chan struct{}
}

type copyState struct {
	edition    uint64
	verifiedAt time.Time
}

func (one *held) signal() {
	one.edition++
	close(one.changed)
	one.changed = make(chan struct{})
}

// Home holds the chunks of one daemon. It is safe for concurrent use.
type Home struct {
	mutex      sync.Mutex
	chunks     map[rollout.ChunkID]*held
	limits     Limits
	peers      Peers
	catalog    Catalog
	board      *announce.Board
	dispatcher *dispatch.Dispatcher
	table      *fleet.Table
	pool       *peer.Pool
	logger     *zap.Logger
	context    context.Context
	statistics Statistics
	// movedAt is used by Run only.
	movedAt time.Time
}

// Statistics counts what happened since the start.
type Statistics struct {
	Finished     uint64
	Discarded    uint64
	Resumed      uint64
	Moved        uint64
	WastedTokens uint64
	Failures     uint64
}

// New returns a home that holds nothing. The context bounds all generation.
func New(ctx context.Context, limits Limits, peers Peers, catalog Catalog, board *announce.Board, dispatcher *dispatch.Dispatcher, table *fleet.Table, pool *peer.Pool, logger *zap.Logger) *Home {
	return &Home{
		chunks:     map[rollout.ChunkID]*held{},
		limits:     limits,
		peers:      peers,
		catalog:    catalog,
		board:      board,
		dispatcher: dispatcher,
		table:      table,
		pool:       pool,
		logger:     logger,
		context:    ctx,
	}
}

// Statistics returns the counts so far.
func (home *Home) Statistics() Statistics {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	return home.statistics
}

// Count returns how many chunks are held and how many of them are generated here.
func (home *Home) Count() (chunks, active int) {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	for _, one := range home.chunks {
		if one.active {
			active++
		}
	}
	return len(home.chunks), active
}

// Holders returns the daemons that should hold a chunk: its home, then the
// holder of the copy, then the others in order of rank.
func Holders(id rollout.ChunkID, serving []membership.Member) []membership.Member {
	byID := map[string]membership.Member{}
	var ids []string
	for _, member := range serving {
		byID[string(member.ID)] = member
		ids = append(ids, string(member.ID))
	}
	var ranked []membership.Member
	for _, name := range rendezvous.Rank(id.PlacementKey(), ids) {
		ranked = append(ranked, byID[name])
	}
	for i := 2; i < len(ranked) && ranked[1].Zone == ranked[0].Zone; i++ {
		if ranked[i].Zone != ranked[0].Zone {
			ranked[1], ranked[i] = ranked[i], ranked[1]
		}
	}
	return ranked
}

// Errors of this layer.
var (
	// ErrConflict means that a batch of this name with other content exists.
	ErrConflict = errors.New("chunks: a batch of this name with other content exists")
	// ErrFull means that the daemon holds as many chunks as it may.
	ErrFull = errors.New("chunks: too many chunks held")
)

// Place takes in a chunk. A chunk that is already held stays as it is.
func (home *Home) Place(spec rollout.ChunkSpec) error {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	if one, known := home.chunks[spec.ID]; known {
		one.lastTouched = time.Now()
		return nil
	}
	for id := range home.chunks {
		if id.Trainer == spec.ID.Trainer && id.Name == spec.ID.Name && id.Digest != spec.ID.Digest {
			return ErrConflict
		}
	}
	if len(home.chunks) >= home.limits.MaxChunks {
		return ErrFull
	}
	home.chunks[spec.ID] = &held{
		chunk:       rollout.NewChunk(spec),
		lastTouched: time.Now(),
		copies:      map[membership.NodeID]copyState{},
		cancels:     map[string]context.CancelFunc{},
		running:     map[string]running{},
		avoid:       map[int]string{},
		changed:     make(chan struct{}),
	}
	return nil
}

// Find returns the header of a batch of which this daemon holds a chunk.
func (home *Home) Find(trainer, name string) (rollout.Header, bool) {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	for id, one := range home.chunks {
		if id.Trainer == trainer && id.Name == name {
			return one.chunk.Spec.Header, true
		}
	}
	return rollout.Header{}, false
}

// judge returns the judgement by which samples of a chunk may be delivered.
// The version that the trainer trains is the newest it stated or announced.
func (home *Home) judge(one *held) rollout.Judge {
	spec := one.chunk.Spec
	announced, _ := home.board.TrainerVersionOf(spec.ID.Trainer)
	return Judge(home.catalog.Policy(), spec.ID.Trainer, spec.MinVersion, max(announced, one.statedVersion))
}

// Judge returns the judgement by the policy for a trainer that trains a version.
func Judge(set *policy.Set, trainerName string, minVersion, current uint64) rollout.Judge {
	trainer, known := set.Trainers[trainerName]
	return func(oldest uint64) bool {
		return known && oldest >= minVersion && oldest > 0 && set.Accepts(trainer, oldest, current)
	}
}

// note records what a pull told: the samples taken and the version trained.
func (home *Home) note(one *held, taken []int, version uint64) {
	one.lastTouched = time.Now()
	one.statedVersion = max(one.statedVersion, version)
	before := one.chunk.Open()
	one.chunk.Take(taken)
	if one.chunk.Open() != before {
		one.edition++
	}
}

// Await waits until a result is ready, and returns how many are and how many
// samples are still open. It reports false for a chunk that is not held.
func (home *Home) Await(ctx context.Context, id rollout.ChunkID, taken []int, version uint64) (ready, open int, known bool) {
	for {
		home.mutex.Lock()
		one, held := home.chunks[id]
		if !held {
			home.mutex.Unlock()
			return 0, 0, false
		}
		home.note(one, taken, version)
		home.dropStale(one)
		ready = one.chunk.Ready()
		open = one.chunk.Open()
		changed := one.changed
		home.mutex.Unlock()
		if ready > 0 || open == 0 {
			return ready, open, true
		}
		select {
		case <-ctx.Done():
			return ready, open, true
		case <-changed:
		}
	}
}

func (home *Home) dropStale(one *held) {
	dropped := one.chunk.DropStale(home.judge(one))
	home.statistics.Discarded += uint64(dropped)
	if dropped > 0 {
		one.edition++
	}
}

// Collect returns results for delivery, once the copy has them too or could
// not be reached in time.
func (home *Home) Collect(ctx context.Context, id rollout.ChunkID, taken []int, version uint64, limit int) ([]rollout.Result, bool) {
	home.mutex.Lock()
	one, known := home.chunks[id]
	if !known {
		home.mutex.Unlock()
		return nil, false
	}
	home.note(one, taken, version)
	home.mutex.Unlock()

	syncContext, cancel := context.WithTimeout(ctx, deliverySyncTimeout)
	home.syncCopies(syncContext, id)
	cancel()

	home.mutex.Lock()
	defer home.mutex.Unlock()
	home.dropStale(one)
	return one.chunk.Collect(home.judge(one), limit), true
}

// Run generates, copies and hands over chunks until the context ends.
func (home *Home) Run(ctx context.Context) {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		changed := home.peers.Changed()
		home.maintain(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
		}
	}
}

func (home *Home) ids() []rollout.ChunkID {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	ids := make([]rollout.ChunkID, 0, len(home.chunks))
	for id := range home.chunks {
		ids = append(ids, id)
	}
	return ids
}

func (home *Home) maintain(ctx context.Context) {
	for _, id := range home.ids() {
		if home.expire(id) {
			continue
		}
		home.decideRole(id)
		home.startSamples(id)
		home.syncCopies(ctx, id)
		home.dropIfHandedOver(id)
	}
	home.moveStraggler(time.Now())
}

// expire drops a chunk that nobody asked for during the retention.
func (home *Home) expire(id rollout.ChunkID) bool {
	home.mutex.Lock()
	defer home.mutex.Unlock()
	one, known := home.chunks[id]
	if !known || time.Since(one.lastTouched) < home.limits.Retention {
		return !known
	}
	home.drop(id, one)
	return true
}

// drop forgets a chunk and cancels its tries. The mutex must be held.
func (home *Home) drop(id rollout.ChunkID, one *held) {
	for _, cancel := range one.cancels {
		cancel()
	}
	delete(home.chunks, id)
}

// decideRole makes this daemon generate the chunk while it ranks first, and
// stops its tries otherwise; what they produced goes to the new home.
func (home *Home) decideRole(id rollout.ChunkID) {
	holders := Holders(id, home.peers.Serving())
	self := home.peers.Self().ID
	home.mutex.Lock()
	defer home.mutex.Unlock()
	one, known := home.chunks[id]
	if !known {
		return
	}
	one.active = len(holders) > 0 && holders[0].ID == self
	if one.active || len(holders) == 0 {
		return
	}
	for _, cancel := range one.cancels {
		cancel()
	}
}
