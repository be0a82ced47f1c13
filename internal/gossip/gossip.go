// Package gossip drives the membership machine and the announcement board over
// the network: it probes peers, spreads news and repairs gaps by digests.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/announce"
	"woodworks/internal/membership"
	"woodworks/internal/peer"
)

// RPCName is the name under which Service answers peers.
const RPCName = "Gossip"

const (
	// ProbeInterval is the time between two rounds of probes.
	ProbeInterval = time.Second
	probeTimeout  = 600 * time.Millisecond
	// indirectTimeout bounds a probe through another member.
	indirectTimeout = time.Second
	indirectRelays  = 2
	updateLimit     = 16
	newsFanout      = 3
	// newsDelay gathers news that arrive together into one exchange.
	newsDelay = 10 * time.Millisecond
	// newsInterval is the least time between two rounds of news. When many
	// daemons start or go at once, everyone has news all the time.
	newsInterval = 200 * time.Millisecond
	// repairBuckets bounds the parts of the table repaired in one exchange.
	repairBuckets = 4
)

// Exchange is what two daemons tell each other.
type Exchange struct {
	From          membership.Member
	Updates       []membership.Member
	Digest        membership.Digest
	Announcements []announce.Announcement
	BoardDigest   uint64
	// CatalogOffset lets the receiver see that it is behind.
	CatalogOffset uint64
	// Repair is how many parts of the table may be sent to fill gaps that the
	// digests show. News goes with none: repairs are left to the steady probes.
	Repair int
}

// ProbeRequest asks for a probe of another member on the sender's behalf.
type ProbeRequest struct {
	Target  membership.NodeID
	Address string
}

// ProbeReply says whether the target answered.
type ProbeReply struct{ Answered bool }

// Catalog is what gossip needs of the configuration. It is never called with
// the service's lock held.
type Catalog interface {
	// Offset returns the offset in force here.
	Offset() uint64
	// Behind is called when a peer has a higher offset. It must not block.
	Behind(address string, offset uint64)
}

// Service is one daemon's part in the gossip. It is safe for concurrent use.
type Service struct {
	mutex   sync.Mutex
	machine *membership.Machine
	board   *announce.Board
	pool    *peer.Pool
	catalog Catalog
	seeds   []string
	logger  *zap.Logger
	changed chan struct{}
	news    chan struct{}
	// version counts changes of the table; serving caches Serving at one.
	version        uint64
	serving        []membership.Member
	servingVersion uint64
}

// New returns a service that knows only the daemon itself.
func New(self membership.Member, board *announce.Board, pool *peer.Pool, catalog Catalog, seeds []string, logger *zap.Logger) *Service {
	return &Service{
		machine: membership.NewMachine(membership.DefaultConfig(), self, time.Now(), self.Generation),
		board:   board,
		pool:    pool,
		catalog: catalog,
		seeds:   seeds,
		logger:  logger,
		changed: make(chan struct{}),
		news:    make(chan struct{}, 1),
		version: 1,
	}
}

// Self returns this daemon's own description.
func (service *Service) Self() membership.Member {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.machine.Self()
}

// Members returns every known member, ordered by ID.
func (service *Service) Members() []membership.Member {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.machine.Members()
}

// Version counts the changes of the table, from 1.
func (service *Service) Version() uint64 {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.version
}

// Serving returns the members that may be given new work, ordered by ID. The
// slice must not be changed.
func (service *Service) Serving() []membership.Member {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if service.servingVersion == service.version {
		return service.serving
	}
	var serving []membership.Member
	for _, member := range service.machine.Members() {
		if member.Serving() {
			serving = append(serving, member)
		}
	}
	service.serving = serving
	service.servingVersion = service.version
	return serving
}

// Lookup returns a member by its identity.
func (service *Service) Lookup(id membership.NodeID) (membership.Member, bool) {
	for _, member := range service.Members() {
		if member.ID == id {
			return member, true
		}
	}
	return membership.Member{}, false
}

// ProvedGone reports whether the run of a daemon is known to be over: it said
// so, or another run answers at its address.
func (service *Service) ProvedGone(id, address string) bool {
	for _, member := range service.Members() {
		if string(member.ID) == id {
			return member.Gone
		}
	}
	for _, member := range service.Members() {
		if member.Address == address && member.Reachable() {
			return true
		}
	}
	return false
}

// Changed returns a channel that is closed at the next change of the table.
func (service *Service) Changed() <-chan struct{} {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.changed
}

// Announce puts announcements on the board and spreads them.
func (service *Service) Announce(announcements ...announce.Announcement) {
	if len(service.board.Merge(time.Now(), announcements...)) > 0 {
		service.Spread()
	}
}

// ErrNotHeard means that too few partners heard an announcement: this daemon
// may be cut off. The announcement stands and goes on to spread.
var ErrNotHeard = errors.New("gossip: too few partners heard the announcement")

// AnnounceWidely puts an announcement on the board and tells it to every
// partner. It returns ErrNotHeard unless at least half of them answered.
func (service *Service) AnnounceWidely(ctx context.Context, announcement announce.Announcement) error {
	service.board.Merge(time.Now(), announcement)
	service.mutex.Lock()
	near, far := service.machine.Partners()
	service.mutex.Unlock()
	partners := append(near, far...)
	heard := make(chan bool, len(partners))
	for _, partner := range partners {
		go func() { heard <- service.exchange(ctx, partner.Address, 0) == nil }()
	}
	count := 0
	for range partners {
		if <-heard {
			count++
		}
	}
	service.Spread()
	if 2*count < len(partners) {
		return errors.Wrapf(ErrNotHeard, "%d of %d", count, len(partners))
	}
	return nil
}

// Spread starts an exchange with a few peers soon, for news of any kind.
func (service *Service) Spread() {
	select {
	case service.news <- struct{}{}:
	default:
	}
}

// Leave tells peers that this daemon takes no new work.
func (service *Service) Leave() {
	service.mutex.Lock()
	service.machine.Leave(time.Now())
	service.signal()
	service.mutex.Unlock()
	service.Spread()
}

// Finish tells peers that this run is over. It is the last call before exit.
func (service *Service) Finish(ctx context.Context) {
	service.mutex.Lock()
	service.machine.Finish(time.Now())
	service.signal()
	service.mutex.Unlock()
	service.spreadNews(ctx)
}

// signal wakes those who wait on Changed. The mutex must be held.
func (service *Service) signal() {
	service.version++
	close(service.changed)
	service.changed = make(chan struct{})
}

// Run probes and spreads until the context ends.
func (service *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	service.joinIfAlone(ctx)
	lastNews := time.Time{}
	// newsDue is nil while there is no news to tell.
	var newsDue <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			service.round(ctx)
		case <-service.news:
			if newsDue == nil {
				newsDue = time.After(max(newsDelay, newsInterval-time.Since(lastNews)))
			}
		case <-newsDue:
			newsDue = nil
			lastNews = time.Now()
			go service.spreadNews(ctx)
		}
	}
}

func (service *Service) round(ctx context.Context) {
	service.mutex.Lock()
	before := service.machine.Digest()
	targets := service.machine.Tick(time.Now())
	if service.machine.Digest() != before {
		service.signal()
	}
	service.mutex.Unlock()
	for _, target := range targets {
		go service.probe(ctx, target)
	}
	service.joinIfAlone(ctx)
}

// joinIfAlone contacts the seeds while no peer is known to be reachable.
func (service *Service) joinIfAlone(ctx context.Context) {
	self := service.Self()
	for _, member := range service.Members() {
		if member.ID != self.ID && member.Reachable() {
			return
		}
	}
	for _, seed := range service.seeds {
		if seed != self.Address {
			go func() { _ = service.exchange(ctx, seed, membership.BucketCount) }()
		}
	}
}

// probe exchanges with a member; if it does not answer, others are asked to
// try before it is suspected.
func (service *Service) probe(ctx context.Context, target membership.Member) {
	sentAt := time.Now()
	if service.exchange(ctx, target.Address, repairBuckets) == nil {
		return
	}
	if service.probeIndirectly(ctx, target) {
		return
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	before := service.machine.Digest()
	service.machine.ProbeFailed(time.Now(), sentAt, target.ID)
	if service.machine.Digest() != before {
		service.logger.Info("member suspected", zap.String("member", string(target.ID)))
		service.signal()
	}
}

func (service *Service) probeIndirectly(ctx context.Context, target membership.Member) bool {
	service.mutex.Lock()
	relays := service.machine.Relays(target.ID, indirectRelays)
	service.mutex.Unlock()
	answers := make(chan bool, len(relays))
	for _, relay := range relays {
		go func() {
			callContext, cancel := context.WithTimeout(ctx, indirectTimeout)
			defer cancel()
			request := ProbeRequest{Target: target.ID, Address: target.Address}
			reply, err := peer.Ask[ProbeReply](callContext, service.pool, relay.Address, peer.Control, RPCName+".Probe", request)
			answers <- err == nil && reply.Answered
		}()
	}
	for range relays {
		if <-answers {
			return true
		}
	}
	return false
}

// exchange tells a peer the news and takes in its own; with repair, gaps that
// the digests show are filled both ways.
func (service *Service) exchange(ctx context.Context, address string, repair int) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := peer.Ask[Exchange](ctx, service.pool, address, peer.Control, RPCName+".Exchange", service.compose(nil, nil, repair))
	if err != nil {
		return err
	}
	service.absorb(reply)
	if repair == 0 {
		return nil
	}
	return service.repair(ctx, address, reply)
}

// repair sends the peer what its digests show it to lack.
func (service *Service) repair(ctx context.Context, address string, told Exchange) error {
	differing, board := service.lacking(told, repairBuckets)
	if len(differing) == 0 && len(board) == 0 {
		return nil
	}
	reply, err := peer.Ask[Exchange](ctx, service.pool, address, peer.Control, RPCName+".Exchange", service.compose(differing, board, 0))
	if err != nil {
		return err
	}
	service.absorb(reply)
	return nil
}

// lacking returns what a peer's digests show it to lack or hold otherwise.
func (service *Service) lacking(told Exchange, buckets int) ([]membership.Member, []announce.Announcement) {
	service.mutex.Lock()
	differing := service.machine.Differing(told.Digest, buckets)
	service.mutex.Unlock()
	if service.board.Digest() == told.BoardDigest {
		return differing, nil
	}
	return differing, service.board.All()
}

// compose builds an exchange of fresh news and the given repairs.
func (service *Service) compose(repairs []membership.Member, board []announce.Announcement, repair int) Exchange {
	// The catalog is asked outside the lock: it asks for members under its own.
	offset := service.catalog.Offset()
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return Exchange{
		From:          service.machine.Self(),
		Updates:       append(service.machine.Updates(updateLimit), repairs...),
		Digest:        service.machine.Digest(),
		Announcements: append(service.board.Fresh(updateLimit), board...),
		BoardDigest:   service.board.Digest(),
		CatalogOffset: offset,
		Repair:        repair,
	}
}

// absorb takes in what a peer told and passes on what was news.
func (service *Service) absorb(told Exchange) {
	now := time.Now()
	service.mutex.Lock()
	changed := service.machine.Merge(now, append(told.Updates, told.From))
	if len(changed) > 0 {
		service.signal()
	}
	service.mutex.Unlock()
	news := service.board.Merge(now, told.Announcements...)
	if told.CatalogOffset > service.catalog.Offset() {
		service.catalog.Behind(told.From.Address, told.CatalogOffset)
	}
	if len(changed) > 0 || len(news) > 0 {
		service.Spread()
	}
}

func (service *Service) spreadNews(ctx context.Context) {
	service.mutex.Lock()
	near, far := service.machine.Partners()
	service.mutex.Unlock()
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	// One partner of another zone comes first, so that news leaves the zone.
	remote := min(1, len(far))
	told := append(append(append([]membership.Member{}, far[:remote]...), near...), far[remote:]...)
	var exchanges sync.WaitGroup
	for _, member := range told[:min(newsFanout, len(told))] {
		exchanges.Add(1)
		go func() {
			defer exchanges.Done()
			_ = service.exchange(ctx, member.Address, 0)
		}()
	}
	exchanges.Wait()
}

// Handler answers peers' calls.
type Handler struct{ service *Service }

// Handler returns the receiver to register under RPCName.
func (service *Service) Handler() *Handler { return &Handler{service: service} }

// Exchange takes in a peer's news and answers with this daemon's, with what
// the digests show the peer to lack.
func (handler *Handler) Exchange(told Exchange, reply *Exchange) error {
	service := handler.service
	service.absorb(told)
	if told.Repair == 0 {
		*reply = service.compose(nil, nil, 0)
		return nil
	}
	differing, board := service.lacking(told, told.Repair)
	*reply = service.compose(differing, board, 0)
	return nil
}

// Probe tries to reach another member for a peer.
func (handler *Handler) Probe(request ProbeRequest, reply *ProbeReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	answer, err := peer.Ask[Exchange](ctx, handler.service.pool, request.Address, peer.Control, RPCName+".Exchange", handler.service.compose(nil, nil, 0))
	if err != nil {
		return nil
	}
	handler.service.absorb(answer)
	reply.Answered = answer.From.ID == request.Target
	return nil
}
