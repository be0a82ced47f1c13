package relay

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// A peer that has lost its own path to the journal is not asked to relay calls for a time. Calls
// that need no journal must still be sent to it.
func TestAPeerWithoutTheJournalIsAskedWhatNeedsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		d, server := newEchoDaemons(ctx, t)
		d.relays[0].peers.dial = func(context.Context, string) (net.Conn, error) { return pipeTo(server), nil }
		d.relays[0].peers.suspend("b", pathLostRetryDelay, "has lost the journal as well", nil)
		answer := ""
		is.NoErr(d.relays[0].Ask(ctx, "b", "Echo.Say", "hello", &answer))
	})
}
