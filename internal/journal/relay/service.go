package relay

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/daemon/logging"
	"woodworks/internal/journal"
)

// maxBulkRelays bounds the calls with large answers that are in progress for peers: one is read from
// the store while another is sent. More would fill a slow link with answers that arrive after their
// callers have given up.
const maxBulkRelays = 2

// maxCallTimeout bounds a call for a peer, whichever timeout the peer requests.
const maxCallTimeout = 30 * time.Second

// Service makes calls to the journal for peers that have lost their own path. Its exported method
// is called through net/rpc.
type Service struct {
	ctx   context.Context
	relay *Journal
}

// Serve listens on the address of the options and answers peers until the context ends. It
// returns once the listener is open. It fails if the address cannot be listened on or net/rpc
// rejects a registered receiver.
func (j *Journal) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp4", j.options.Address)
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	server, err := j.server(ctx)
	if err != nil {
		return errors.Wrap(err, "relay: register receivers")
	}
	go func() {
		<-ctx.Done()
		_ = listener.Close() // The daemon is stopping.
	}()
	go j.accept(ctx, listener, server)
	return nil
}

// server returns an RPC server with the journal service and all registered receivers.
func (j *Journal) server(ctx context.Context) (*rpc.Server, error) {
	server := rpc.NewServer()
	for name, receiver := range j.receivers {
		if err := server.RegisterName(name, receiver); err != nil {
			return nil, err
		}
	}
	if err := server.RegisterName(introducerName, &Introducer{peers: j.peers}); err != nil {
		return nil, err
	}
	return server, server.RegisterName(serviceName, &Service{ctx: ctx, relay: j})
}

// accept serves each connection of the listener until the context ends.
func (j *Journal) accept(ctx context.Context, listener net.Listener, server *rpc.Server) {
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			j.logger.Warn("failed to accept a peer's connection", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		go server.ServeConn(conn)
	}
}

// acceptRetryDelay is the wait after a failed accept, for example for lack of file descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Call makes one call to the journal for a peer. msg holds an operation and answer receives a
// reply; the error of the call itself is part of the reply.
func (s *Service) Call(msg Message, answer *Message) error {
	var op operation
	if err := msg.decode(&op); err != nil {
		return err
	}
	encoded, err := encode(s.answer(op))
	if err != nil {
		return err
	}
	*answer = encoded
	return nil
}

// answer makes the call on the own path. If that path is lost or this daemon is draining, it
// makes no call and returns outcomePathLost.
func (s *Service) answer(op operation) reply {
	if !s.relay.peerCalls.tryAdd() {
		return reply{Outcome: outcomePathLost, Reason: "the peer stops"}
	}
	defer s.relay.peerCalls.active.Done()
	if s.relay.PathLost() {
		return reply{Outcome: outcomePathLost, Reason: "the peer has lost its own path"}
	}
	if !op.isKnown() {
		return failedReply(errors.Wrap(journal.ErrNotDone, "relay: an operation of a later version"))
	}
	ctx, cancel := context.WithTimeout(s.ctx, min(op.Timeout, maxCallTimeout))
	defer cancel()
	if op.isBulk() {
		return s.answerBulk(ctx, op)
	}
	return s.call(ctx, op)
}

// answerBulk makes a call whose answer may be large, unless maxBulkRelays of them are in progress.
// A read that would wait for records is first made without waiting: only one that has nothing to
// send yet may wait beside the others.
func (s *Service) answerBulk(ctx context.Context, op operation) reply {
	select {
	case s.relay.bulkRelays <- struct{}{}:
	default:
		s.relay.RefusedRelays.Add(1)
		s.relay.refusals.Note(logging.Occurrence{})
		return reply{Outcome: outcomePathLost, Reason: busyReason}
	}
	answer := s.call(ctx, op.withoutWait())
	<-s.relay.bulkRelays
	if op.wait() == 0 || answer.Outcome != outcomeDone || len(answer.Records.Records) > 0 {
		return answer
	}
	return s.call(ctx, op)
}

// call makes a call on the own path.
func (s *Service) call(ctx context.Context, op operation) reply {
	answer, err := s.relay.callOnOwnPath(ctx, op)
	if err != nil {
		return failedReply(err)
	}
	return answer
}
