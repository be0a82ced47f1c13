package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/logging"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
	"woodworks/internal/journal/questiontime"
	"woodworks/internal/requests/upstream"
)

const (
	topic = "woodworks.peers"
	// dialTimeout bounds the making of a connection to a peer.
	dialTimeout = 250 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged by a peer.
	unackedTimeout = 600 * time.Millisecond
	// answerTimeout is how long a peer may take beyond the time that a call is
	// held on purpose.
	answerTimeout = questiontime.Relayed
	// peersTried is how many peers one call is offered to at most.
	peersTried = 3
	// brokenRest, silentRest and lostRest are how long a peer is left alone that could
	// not be reached, did not answer, or has lost the path itself.
	brokenRest = 3 * time.Second
	silentRest = time.Second
	lostRest   = 500 * time.Millisecond
	// announceTimeout bounds one try to tell the others of this daemon.
	announceTimeout = time.Second
	announcePause   = 200 * time.Millisecond
)

// dial makes a connection to a peer.
type dial func(ctx context.Context, address string) (net.Conn, error)

// errNoPeer: no peer could make the call, and none has.
var errNoPeer = errors.New("relay: no peer reaches the journal")

// peer is another daemon.
type peer struct {
	Address string `cbor:"1,keyasint"`
	Zone    string `cbor:"2,keyasint"`

	mu     sync.Mutex
	client *peerClient
	// closed peers are connected to no more: the daemon ends.
	closed bool
	// restUntil is until when others are asked.
	restUntil time.Time
}

// peerClient is a connection to a peer. It is ended by closing conn, never by the
// client's Close: after that net/rpc may end calls under way with ErrShutdown, which here
// says that a call was not sent.
type peerClient struct {
	*rpc.Client
	conn net.Conn
}

// peers are the other daemons, as they announced themselves. It implements
// journal.KeyedHandler and is safe for concurrent use.
type peers struct {
	options Options
	dial    dial
	logger  *zap.Logger
	// left sums the turns from peers: where a store is busy, each call to each of them
	// ends in one.
	left *logging.Episodes

	mu    sync.Mutex
	known map[string]*peer
	// closed says that the daemon ends.
	closed bool
	// current is the peer that answered last, "" if none did.
	current string
}

func newPeers(options Options, logger *zap.Logger) *peers {
	dialer := upstream.NewDialer(upstream.Options{LocalAddress: options.Address, ConnectTimeout: dialTimeout, UnackedTimeout: unackedTimeout})
	made := func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp4", address)
	}
	return &peers{options: options, dial: made, logger: logger, left: logging.NewEpisodes(logger, "peer left alone", "reason", "peers"), known: map[string]*peer{}}
}

// Partition is where daemons announce themselves.
func Partition(log journal.Journal) journal.Partition {
	return journal.Partition{Topic: log.KeyedTopic(topic)}
}

// Peers returns the handler of the partition where daemons announce themselves.
func (j *Journal) Peers() journal.KeyedHandler { return j.peers }

// announce tells the others where this daemon's relay is, until that is certain.
func (j *Journal) announce(ctx context.Context) {
	encoded, err := cbor.Marshal(&peer{Address: j.options.Address, Zone: j.options.Zone})
	if err != nil {
		j.logger.Error("relay not announced", zap.Error(err))
		return
	}
	record := j.JoinKeyed(journal.KeyedRecord{Key: j.options.Name, Value: encoded})
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, announceTimeout)
		_, err := j.Append(bounded, journal.Append{Partition: Partition(j.Journal), Records: [][]byte{record}})
		cancel()
		if err == nil {
			return
		}
		periodic.Pause(ctx, announcePause)
	}
}

// Reset implements journal.KeyedHandler.
func (p *peers) Reset(records []journal.KeyedRecord) {
	for _, record := range records {
		p.Apply(record)
	}
}

// Apply implements journal.KeyedHandler. A daemon that started anew at the same
// address keeps its place.
func (p *peers) Apply(record journal.KeyedRecord) {
	other := &peer{}
	if record.Key == p.options.Name || len(record.Value) == 0 {
		return
	}
	if err := cbor.Unmarshal(record.Value, other); err != nil {
		p.logger.Warn("peer not understood", zap.String("peer", record.Key), zap.Error(err))
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if before := p.known[record.Key]; before == nil || before.Address != other.Address {
		p.known[record.Key] = other
	}
}

func (p *peers) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.known)
}

// names returns the names of all peers, in order.
func (p *peers) names() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Sorted(maps.Keys(p.known))
}

// any reports whether there is a peer that may be asked now.
func (p *peers) any() bool { return len(p.candidates(time.Now())) > 0 }

// candidates returns the peers to ask, in order: the one that answered last, those
// of the own zone, the others.
func (p *peers) candidates(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	var names []string
	rank := map[string]float64{}
	for name, other := range p.known {
		if other.resting(now) {
			continue
		}
		names = append(names, name)
		rank[name] = rand.Float64()
		if other.Zone != p.options.Zone {
			rank[name]++
		}
		if name == p.current {
			rank[name] = -1
		}
	}
	sort.Slice(names, func(i, j int) bool { return rank[names[i]] < rank[names[j]] })
	return names[:min(len(names), peersTried)]
}

// available returns a peer that may be asked now, or nil.
func (p *peers) available(name string) *peer {
	other := p.get(name)
	if other == nil || other.resting(time.Now()) {
		return nil
	}
	return other
}

func (p *peers) get(name string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.known[name]
}

// call offers a call to one peer after the other until one has made it. An error that
// wraps errNoPeer says that none has; after any other the call may have been made.
func (p *peers) call(ctx context.Context, call operation, wait time.Duration) (reply, error) {
	call.Within = wait + answerTimeout
	if deadline, bounded := ctx.Deadline(); bounded {
		call.Within = min(call.Within, time.Until(deadline))
	}
	msg, err := encode(call)
	if err != nil {
		return reply{}, errors.Wrap(errNoPeer, err.Error())
	}
	bounded, cancel := context.WithTimeout(ctx, call.Within)
	defer cancel()
	for _, name := range p.candidates(time.Now()) {
		answer, err := p.get(name).relay(bounded, p.dial, msg)
		switch {
		case errors.Is(err, errNoPeer):
			p.turnFrom(name, brokenRest, "not reached", err)
			continue
		case errors.Is(ctx.Err(), context.Canceled):
			// The caller has lost interest, which says nothing of the peer.
			return reply{}, errors.Wrap(journal.ErrUnknown, ctx.Err().Error())
		case err != nil:
			p.turnFrom(name, silentRest, "no answer", err)
			return reply{}, errors.Wrap(journal.ErrUnknown, err.Error())
		case answer.Outcome == outcomeLost:
			p.turnFrom(name, lostRest, "has lost the journal as well", nil)
			continue
		}
		p.mu.Lock()
		p.current = name
		p.mu.Unlock()
		return answer, answer.err()
	}
	return reply{}, errors.Wrap(errNoPeer, "none left to ask")
}

// turnFrom leaves a peer alone for a while.
func (p *peers) turnFrom(name string, rest time.Duration, reason string, cause error) {
	other := p.get(name)
	if other == nil {
		return
	}
	other.mu.Lock()
	other.restUntil = time.Now().Add(rest)
	other.mu.Unlock()
	p.mu.Lock()
	if p.current == name {
		p.current = ""
	}
	p.mu.Unlock()
	p.left.Note(logging.Occurrence{Key: reason, Subject: name, Took: rest}, zap.String("peer", name), zap.Duration("rest", rest), zap.Error(cause))
}

// close ends the connections to peers.
func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, other := range p.known {
		other.mu.Lock()
		other.closed = true
		other.mu.Unlock()
		other.drop()
	}
}

func (p *peer) resting(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.restUntil)
}

// relay has a peer make a call to the journal. An error that wraps errNoPeer says that
// the call was not sent.
func (p *peer) relay(ctx context.Context, dial dial, msg Message) (reply, error) {
	var answer Message
	if err := p.ask(ctx, dial, methodName, msg, &answer); err != nil {
		return reply{}, err
	}
	var told reply
	return told, answer.decode(&told)
}

// ask calls a method of the peer and waits for the answer. An error that wraps errNoPeer
// says that the call was not sent.
func (p *peer) ask(ctx context.Context, dial dial, method string, args, answer any) error {
	err := p.askOnce(ctx, dial, method, args, answer)
	if errors.Is(err, rpc.ErrShutdown) {
		// The connection had ended before the call, as at a peer's restart: the peer may
		// be there all the same.
		err = p.askOnce(ctx, dial, method, args, answer)
	}
	if errors.Is(err, rpc.ErrShutdown) {
		return errors.Wrap(errNoPeer, err.Error())
	}
	return err
}

// askOnce calls a method on the connection that there is, or on a new one. ErrShutdown
// says that the call was not sent.
func (p *peer) askOnce(ctx context.Context, dial dial, method string, args, answer any) error {
	client, err := p.connect(ctx, dial)
	if err != nil {
		return errors.Wrap(errNoPeer, err.Error())
	}
	call := client.Go(method, args, answer, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-call.Done:
	}
	var refused rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &refused) {
		// One that has answered with an error has a sound connection.
		p.giveUp(client)
	}
	return call.Error
}

// connect returns the connection to the peer, made if there is none.
func (p *peer) connect(ctx context.Context, dial dial) (*peerClient, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errors.New("relay: the daemon ends")
	}
	if p.client != nil {
		return p.client, nil
	}
	conn, err := dial(ctx, p.Address)
	if err != nil {
		return nil, err
	}
	p.client = &peerClient{Client: rpc.NewClient(conn), conn: conn}
	return p.client, nil
}

// giveUp ends a connection to the peer that is broken. Of the calls that were under way
// on it the last may come here when there is a new one, with calls on it.
func (p *peer) giveUp(client *peerClient) {
	p.mu.Lock()
	if p.client == client {
		p.client = nil
	}
	p.mu.Unlock()
	_ = client.conn.Close() // It is broken: there is nobody to tell.
}

// drop ends the connection to the peer.
func (p *peer) drop() {
	p.mu.Lock()
	client := p.client
	p.mu.Unlock()
	if client != nil {
		p.giveUp(client)
	}
}
