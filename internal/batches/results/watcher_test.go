package results

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"woodworks/internal/batches/ledger"
	"woodworks/internal/journal/journaltest"
)

// Guards against a data race with net/rpc, which may still write a watcher's reply after the call
// timed out.
func TestLateReplyIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := journaltest.New()
		var late sync.WaitGroup
		peers := &stubPeers{daemons: 2, watcher: "h/1"}
		peers.answer = func(ctx context.Context, _, reply any) error {
			<-ctx.Done()
			late.Go(func() { *reply.(*Beginning) = Beginning{Found: true, Offset: 7} })
			return ctx.Err()
		}
		reader := NewReader(ledger.New(t.Context(), log, zap.NewNop()), peers, peers, scarceGrants, "m0/1", zap.NewNop())
		offset, err := reader.Beginning(t.Context(), "b")
		is.True(errors.Is(err, ErrNotCaughtUp))
		is.Equal(offset, int64(0))
		late.Wait()
	})
}
