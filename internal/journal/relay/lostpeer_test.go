package relay

import (
	"context"
	"net"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// With the store away for all, daemons learned from each other 13 and 27 s late which content
// is refused: a peer that can't pass calls to the journal on is left alone for lostRest, again
// and again, and calls that need no journal were not sent to it either.
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
