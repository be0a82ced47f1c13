package handoff

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/requests/forward"
	"woodworks/internal/requests/quarantine"
	"woodworks/internal/requests/route"
)

const (
	// maxTaken is how many requests of peers run here at once: with the longest bodies and
	// answers they take a tenth of the memory of a small machine.
	maxTaken = 48
	// endedFor is how long the end of a request is remembered that has not come yet: calls
	// on one connection may overtake each other by little.
	endedFor = 2 * time.Second
	// maxEnded bounds the ends that are remembered.
	maxEnded = 1024
)

// Service runs requests of peers. Its exported methods Run and Cancel are those of
// net/rpc. It never hands on, so that a request takes one hop at most.
type Service struct {
	ctx context.Context
	own *Handoff

	mu      sync.Mutex
	stopped bool
	// running has the requests under way by the id of their handing on; ended are the ids
	// of those that were ended before they came, with when.
	running map[string]*taken
	ended   map[string]time.Time
	under   sync.WaitGroup
}

// taken is a request of a peer that runs here. The mutex of its service guards tried.
type taken struct {
	cancel context.CancelFunc
	tried  []string
}

// Service returns what runs the requests of peers until the context ends.
func (h *Handoff) Service(ctx context.Context) *Service {
	return &Service{ctx: ctx, own: h, running: map[string]*taken{}, ended: map[string]time.Time{}}
}

// Run runs a request of a peer. It is exported for net/rpc.
func (s *Service) Run(asked Request, reply *Reply) error {
	came := s.own.options.Clock()
	ctx, cancel := context.WithTimeout(s.ctx, asked.Left)
	defer cancel()
	if reason := s.enter(asked.ID, cancel); reason != "" {
		*reply = Reply{Outcome: Busy, Reason: reason}
	} else {
		defer s.leave(asked.ID)
		*reply = s.answer(ctx, &asked, came)
	}
	s.log(&asked, reply, s.own.options.Clock().Sub(came))
	return nil
}

// enter counts a request, or says why it is not taken.
func (s *Service) enter(id string, cancel context.CancelFunc) (reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, over := s.ended[id]
	delete(s.ended, id)
	switch {
	case s.stopped:
		return "the peer stops"
	case over:
		return "its caller has left"
	case len(s.running) >= maxTaken:
		return "the peer has too many requests of others"
	}
	s.running[id] = &taken{cancel: cancel}
	s.under.Add(1)
	return ""
}

func (s *Service) leave(id string) {
	s.mu.Lock()
	delete(s.running, id)
	s.mu.Unlock()
	s.under.Done()
}

// Cancel ends a request whose caller has left or got its answer. It is exported for net/rpc.
func (s *Service) Cancel(asked Cancellation, done *Done) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	under, found := s.running[asked.ID]
	done.Found = found
	if found {
		under.cancel()
		return nil
	}
	now := s.own.options.Clock()
	for id, at := range s.ended {
		if now.Sub(at) > endedFor {
			delete(s.ended, id)
		}
	}
	if len(s.ended) < maxEnded {
		s.ended[asked.ID] = now
	}
	return nil
}

// Offers tells to which replicas a request was offered that runs here. That it answers shows
// as well that this daemon is there. It is exported for net/rpc.
func (s *Service) Offers(asked Inquiry, offers *Offers) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if under := s.running[asked.ID]; under != nil {
		offers.Tried = slices.Clone(under.tried)
	}
	return nil
}

// offered notes a replica that a request was offered to.
func (s *Service) offered(id, replica string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if under := s.running[id]; under != nil {
		under.tried = append(under.tried, replica)
	}
}

// Drain takes no more requests and returns when those under way have ended, or the context
// has. It is called before the context of the service ends.
func (s *Service) Drain(ctx context.Context) {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.under.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// answer runs a request by this daemon's own configuration and beliefs.
func (s *Service) answer(ctx context.Context, asked *Request, came time.Time) Reply {
	call, found, err := s.call(asked, came)
	if err != nil {
		return Reply{Outcome: Refused, Reason: err.Error()}
	}
	if retry := s.own.options.MayRetry; retry != nil {
		call.MayRetry = func(offers int) bool { return retry(found, offers) }
	}
	answer, err := s.own.options.Direct.Do(ctx, call)
	if err != nil {
		return s.failed(call, err)
	}
	defer answer.Close()
	if answer.Rest != nil || len(answer.Body) > maxAnswerBytes {
		return Reply{Outcome: TooLong, Reason: "the answer is too long to be passed back", Attempts: answer.Attempts, MayHaveRun: true}
	}
	return Reply{Outcome: Answered, Attempts: answer.Attempts, Status: answer.Status, Header: answer.Header, Body: answer.Body, Replica: answer.Replica}
}

// call makes the call of a request, or says why this daemon doesn't run it.
func (s *Service) call(asked *Request, came time.Time) (*forward.Call, *route.Route, error) {
	options := &s.own.options
	configuration := options.Configuration()
	if configuration == nil || configuration.Version < asked.Version {
		return nil, nil, errors.New("the peer's configuration is older")
	}
	path, _, _ := strings.Cut(asked.Target, "?")
	found, ok := configuration.Find(asked.Host, path)
	if !ok || found.Kind != route.Safe {
		return nil, nil, errors.New("the peer's configuration has no route for it that may be repeated")
	}
	left := asked.Left
	if found.Timeout > 0 {
		left = min(left, found.Timeout)
	}
	call := &forward.Call{
		RequestID: asked.RequestID, Method: asked.Method, Target: asked.Target, Host: asked.Host, Header: asked.Header, Body: asked.Body, Caller: asked.Caller,
		Services: found.Order(asked.RequestID), Repeatable: true, MaxAttempts: max(min(asked.MaxAttempts, found.MaxAttempts), 1),
		Hedge: true, HedgeAfter: found.HedgeAfter, ConnectionUntil: time.Now().Add(found.ConnectionWait()),
		Offered: func(replica string) { s.offered(asked.ID, replica) },
		Left:    func() time.Duration { return left - options.Clock().Sub(came) },
		Ran: func(sentAt time.Time) {
			if options.Ran != nil && asked.Caller != "" {
				options.Ran(asked.Caller, sentAt)
			}
		},
	}
	if s.own.suspected(call) {
		return nil, nil, errors.New("replicas have ended under its content")
	}
	return call, found, nil
}

// failed says what is certain of a request without an answer.
func (s *Service) failed(call *forward.Call, err error) Reply {
	reply := Reply{Outcome: Failed, Reason: err.Error(), MayHaveRun: true, Attempts: call.MaxAttempts}
	var failure *forward.Failure
	if errors.As(err, &failure) {
		reply.MayHaveRun, reply.Attempts, reply.Tried = failure.Certainty != forward.NotRun, failure.Attempts, failure.Tried
	}
	reply.Alone = reply.MayHaveRun && s.own.suspicion(call) >= quarantine.OnlyAlone
	return reply
}

// log tells in one line what became of a peer's request.
func (s *Service) log(asked *Request, reply *Reply, took time.Duration) {
	s.own.options.Logger.Info("request of a peer", zap.String("request", asked.RequestID), zap.String("from", asked.From), zap.String("tenant", asked.Caller),
		zap.Stringer("result", reply.Outcome), zap.String("reason", reply.Reason), zap.String("replica", reply.Replica), zap.Int("status", reply.Status),
		zap.Int("attempts", reply.Attempts), zap.Duration("took", took))
}
