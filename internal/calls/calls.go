package calls

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/backend/plain"
	"woodworks/internal/dispatch"
	"woodworks/internal/fleet"
	"woodworks/internal/membership"
	"woodworks/internal/peer"
	"woodworks/internal/periodic"
	"woodworks/internal/policy"
	"woodworks/internal/records"
	"woodworks/internal/register"
	"woodworks/internal/retrybudget"
	"woodworks/internal/sendgate"
)

// RPCName is the name under which Handler answers peers.
const RPCName = "Calls"

const (
	// permitValidity is how long after its grant a permit may be used.
	permitValidity = 2 * time.Second
	// decideTimeout bounds the wait for a permit.
	decideTimeout = 4 * time.Second
	// outcomeWait bounds how long another daemon's outcome is waited for.
	outcomeWait = 5 * time.Second
	// defaultRetryAfter is told where nothing better is known.
	defaultRetryAfter = time.Second
	expireInterval    = 10 * time.Second
)

// Request is one call of an operation.
type Request struct {
	Caller      string
	Service     string
	Operation   policy.Operation
	Key         *Key
	ContentType string
	Body        []byte
}

// Peers is what this package needs of the membership.
type Peers interface {
	Self() membership.Member
	Lookup(id membership.NodeID) (membership.Member, bool)
}

// Catalog is what this package needs of the configuration.
type Catalog interface {
	Policy() *policy.Set
	ConfirmationAge() (time.Duration, bool)
}

// Records decides who may send.
type Records interface {
	Decide(ctx context.Context, key register.Key, value register.Value) (register.Value, error)
}

// Bounds holds the package's limits.
type Bounds struct {
	ConfirmBound time.Duration
	// Retention is how long a request key may be used after its issue.
	Retention time.Duration
	// ClockSkew is how far in the future a key may be issued.
	ClockSkew   time.Duration
	MaxAttempts int
}

// Sender sends calls. It is safe for concurrent use.
type Sender struct {
	bounds     Bounds
	peers      Peers
	catalog    Catalog
	records    Records
	dispatcher *dispatch.Dispatcher
	table      *fleet.Table
	pool       *peer.Pool
	logger     *zap.Logger
	budget     retrybudget.Budget
	kept       *attempts
	counter    atomic.Uint64
}

// New returns a sender.
func New(bounds Bounds, peers Peers, catalog Catalog, records Records, dispatcher *dispatch.Dispatcher, table *fleet.Table, pool *peer.Pool, logger *zap.Logger) *Sender {
	return &Sender{
		bounds:     bounds,
		peers:      peers,
		catalog:    catalog,
		records:    records,
		dispatcher: dispatcher,
		table:      table,
		pool:       pool,
		logger:     logger,
		kept:       newAttempts(bounds.MaxAttempts),
	}
}

// Run forgets old outcomes until the context ends.
func (sender *Sender) Run(ctx context.Context) {
	periodic.Every(ctx, expireInterval, func(context.Context) {
		sender.kept.expire(time.Now(), sender.bounds.Retention)
	})
}

// Do runs a request to its final outcome, at the latest when the operation's
// timeout or the context ends.
func (sender *Sender) Do(ctx context.Context, request Request) Outcome {
	ctx, cancel := context.WithTimeout(ctx, request.Operation.Timeout)
	defer cancel()
	sender.budget.FirstTry(sender.catalog.Policy().Retry.Percent)
	switch {
	case request.Operation.Repeatable:
		return sender.repeatable(ctx, request)
	case request.Key != nil:
		return sender.keyed(ctx, request)
	default:
		return sender.once(ctx, request)
	}
}

func (sender *Sender) newAttemptID() string {
	return fmt.Sprintf("%s/%d", sender.peers.Self().ID, sender.counter.Add(1))
}

// reach waits for a replica and connects to it. It tries others while the
// connection fails, as nothing has been sent; the last failure is the outcome
// if none could be reached in time. On success the outcome is nil.
func (sender *Sender) reach(ctx context.Context, request Request, excluded map[string]bool) (*connected, *Outcome) {
	for {
		grant, err := sender.dispatcher.Acquire(ctx, dispatch.Request{
			Service:  request.Service,
			Class:    request.Operation.Class,
			Excluded: excluded,
		})
		if err != nil {
			outcome := sender.refusal(request, err)
			return nil, &outcome
		}
		connection, err := plain.Dial(ctx, grant.Address)
		if err == nil {
			return &connected{grant: grant, connection: connection}, nil
		}
		grant.Done()
		sender.table.MarkFailed(grant.Machine)
		if ctx.Err() != nil || !sender.mayRetry() {
			outcome := failed(NotExecuted, CodeUnreachable, sender.dispatcher.RetryAfter(request.Service), "no replica of %q could be reached", request.Service)
			return nil, &outcome
		}
	}
}

func (sender *Sender) mayRetry() bool {
	return sender.budget.TryRetry(time.Now(), sender.catalog.Policy().Retry.Minimum)
}

func (sender *Sender) refusal(request Request, err error) Outcome {
	retryAfter := sender.dispatcher.RetryAfter(request.Service)
	if errors.Is(err, dispatch.ErrQueueFull) {
		return failed(NotExecuted, CodeQueueFull, retryAfter, "too many requests of class %q wait", request.Operation.Class)
	}
	return failed(NotExecuted, CodeNoCapacity, retryAfter, "no replica of %q became free in time", request.Service)
}

func (sender *Sender) confirmed() bool {
	age, confirmed := sender.catalog.ConfirmationAge()
	return confirmed && age <= sender.bounds.ConfirmBound
}

// send sends over an open connection and closes it.
func (sender *Sender) send(ctx context.Context, open *connected, gate *sendgate.Gate, request Request, attemptID string) (plain.Answer, error) {
	defer open.grant.Done()
	answer, err := plain.Send(ctx, open.connection, gate, plain.Call{
		Address:     open.grant.Address,
		Operation:   request.Operation.Name,
		ContentType: request.ContentType,
		Body:        request.Body,
		AttemptID:   attemptID,
	})
	if err != nil && ctx.Err() == nil {
		sender.table.MarkFailed(open.grant.Machine)
	}
	return answer, err
}

// once sends a non-repeatable request without a key: one try, never a second.
func (sender *Sender) once(ctx context.Context, request Request) Outcome {
	open, outcome := sender.reach(ctx, request, nil)
	if outcome != nil {
		return *outcome
	}
	if !sender.confirmed() {
		open.abandon()
		return failed(NotExecuted, CodeUnconfirmed, defaultRetryAfter, "this daemon cannot confirm its configuration")
	}
	answer, err := sender.send(ctx, open, &sendgate.Gate{}, request, sender.newAttemptID())
	return sender.outcomeOf(answer, err)
}

func (sender *Sender) outcomeOf(answer plain.Answer, err error) Outcome {
	switch {
	case err == nil:
		return completed(answer)
	case errors.Is(err, plain.ErrUnreachable):
		return failed(NotExecuted, CodeUnreachable, defaultRetryAfter, "the request was given up before it was sent")
	default:
		return failed(Unknown, CodeBackEndFailed, defaultRetryAfter, "the back end failed: %v", err)
	}
}

// keyed sends a non-repeatable request at most once among all daemons. The
// connection is made first and the permit asked for second, so that a permit
// is rarely spent in vain.
func (sender *Sender) keyed(ctx context.Context, request Request) Outcome {
	now := time.Now()
	if now.Sub(request.Key.IssuedAt) > sender.bounds.Retention {
		return failed(Unknown, CodeKeyExpired, 0, "the request key is older than %s; whether it ran is no longer known", sender.bounds.Retention)
	}
	if request.Key.IssuedAt.Sub(now) > sender.bounds.ClockSkew {
		return failed(NotExecuted, CodeKeyMalformed, 0, "the request key's time is in the future").forKey()
	}
	open, outcome := sender.reach(ctx, request, nil)
	if outcome != nil {
		return outcome.forKey()
	}
	attemptID := sender.newAttemptID()
	sender.kept.open(attemptID)
	value := register.Value{Holder: string(sender.peers.Self().ID), Attempt: attemptID, Fingerprint: fingerprint(request)}
	key := register.Key{Name: recordName(request), IssuedAt: request.Key.IssuedAt}
	decideContext, cancel := context.WithTimeout(ctx, decideTimeout)
	decided, err := sender.records.Decide(decideContext, key, value)
	cancel()
	if err != nil {
		open.abandon()
		return sender.giveUpPermit(attemptID, err)
	}
	if decided != value {
		open.abandon()
		sender.kept.close(attemptID, failed(NotExecuted, CodeAbandonedEarly, 0, "this try did not get the permit"))
		return sender.outcomeElsewhere(ctx, value, decided)
	}
	return sender.sendWithPermit(ctx, open, request, attemptID)
}

// sendWithPermit uses the permit that this daemon holds, once.
func (sender *Sender) sendWithPermit(ctx context.Context, open *connected, request Request, attemptID string) Outcome {
	gate := &sendgate.Gate{NotAfter: time.Now().Add(permitValidity)}
	if !sender.confirmed() {
		gate.Abandon()
	}
	answer, err := sender.send(ctx, open, gate, request, attemptID)
	outcome := sender.outcomeOf(answer, err)
	sender.kept.close(attemptID, outcome)
	return outcome
}

// giveUpPermit ends an attempt whose permit could not be decided. Should it
// still be decided in this daemon's favour, the daemon will never use it, so
// whoever finds that decision may say that the request was not executed. Until
// then an earlier try may hold the permit, and nothing is certain.
func (sender *Sender) giveUpPermit(attemptID string, err error) Outcome {
	abandoned := failed(NotExecuted, CodeRecordsBusy, defaultRetryAfter, "the permit to send could not be decided: %v", err)
	sender.kept.close(attemptID, abandoned)
	switch {
	case errors.Is(err, records.ErrKeyExpired):
		return failed(Unknown, CodeKeyExpired, 0, "the request key is too old: %v", err)
	case errors.Is(err, records.ErrRecordsLost):
		outcome := failed(Unknown, CodeRecordsLost, sender.bounds.ClockSkew, "records were lost a moment ago; whether an earlier try ran is not known, and keys issued from now on can be used soon")
		outcome.NotSent = true
		return outcome
	default:
		return abandoned.forKey()
	}
}

// outcomeElsewhere returns what became of the try that holds the permit.
func (sender *Sender) outcomeElsewhere(ctx context.Context, own, decided register.Value) Outcome {
	if decided.Fingerprint != own.Fingerprint {
		return failed(NotExecuted, CodeKeyReused, 0, "the request key was used for another request")
	}
	if decided.Holder == own.Holder {
		return sender.ownOutcome(ctx, decided.Attempt)
	}
	holder, known := sender.peers.Lookup(membership.NodeID(decided.Holder))
	if !known {
		return holderGone(decided)
	}
	ctx, cancel := context.WithTimeout(ctx, outcomeWait)
	defer cancel()
	reply, err := peer.Ask[OutcomeReply](ctx, sender.pool, holder.Address, peer.Bulk, RPCName+".Outcome", OutcomeRequest{To: decided.Holder, Attempt: decided.Attempt})
	if err != nil || !reply.Known || reply.Attempt != decided.Attempt {
		return holderGone(decided)
	}
	return spentKey(reply.Outcome)
}

// spentKey turns the outcome of an earlier try that was given up into one that
// tells the caller to come with another key: this one's permit is spent.
func spentKey(earlier Outcome) Outcome {
	if earlier.Result != NotExecuted {
		return earlier
	}
	return failed(NotExecuted, CodeAbandonedEarly, defaultRetryAfter, "an earlier try with this key was given up before it was sent; send again with a new key")
}

func holderGone(decided register.Value) Outcome {
	return failed(Unknown, CodeHolderGone, defaultRetryAfter, "an earlier try by %s may have run; it will not be sent again", decided.Holder)
}

func (sender *Sender) ownOutcome(ctx context.Context, attemptID string) Outcome {
	held := sender.kept.find(attemptID)
	if held == nil {
		return failed(Unknown, CodeAnswerNotKept, defaultRetryAfter, "an earlier try may have run; its answer is no longer kept")
	}
	select {
	case <-held.done:
		return spentKey(held.outcome)
	case <-ctx.Done():
		return failed(Unknown, CodeBackEndFailed, defaultRetryAfter, "an earlier try is still under way")
	}
}

func recordName(request Request) string {
	return fmt.Sprintf("call/%s/%s/%s/%s", request.Caller, request.Service, request.Operation.Name, request.Key.Text)
}

func fingerprint(request Request) uint64 {
	hasher := xxhash.New()
	_, _ = hasher.WriteString(request.ContentType + "\x00")
	_, _ = hasher.Write(request.Body)
	return hasher.Sum64()
}

// connected is a granted replica with an open connection.
type connected struct {
	grant      dispatch.Grant
	connection net.Conn
}

// abandon closes the connection unused.
func (open *connected) abandon() {
	_ = open.connection.Close()
	open.grant.Done()
}

// OutcomeRequest asks a permit's holder what became of its try.
type OutcomeRequest struct {
	To      string
	Attempt string
}

// OutcomeReply answers it.
type OutcomeReply struct {
	Known   bool
	Attempt string
	Outcome Outcome
}

// Handler answers peers' calls.
type Handler struct{ sender *Sender }

// Handler returns the receiver to register under RPCName.
func (sender *Sender) Handler() *Handler { return &Handler{sender: sender} }

// Outcome waits for the outcome of a try and returns it.
func (handler *Handler) Outcome(request OutcomeRequest, reply *OutcomeReply) error {
	sender := handler.sender
	if request.To != string(sender.peers.Self().ID) || sender.kept.find(request.Attempt) == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), outcomeWait)
	defer cancel()
	reply.Known = true
	reply.Attempt = request.Attempt
	reply.Outcome = sender.ownOutcome(ctx, request.Attempt)
	return nil
}
