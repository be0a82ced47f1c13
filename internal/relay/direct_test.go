package relay

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Echo is a service of a peer.
type Echo struct{}

// Say answers with the text, or refuses an empty one.
func (Echo) Say(text string, answer *string) error {
	if text == "" {
		return errors.New("nothing to say")
	}
	*answer = text
	return nil
}

// One daemon is asked by name; one that can't be reached is left alone for a while, one
// that refuses is not.
func TestAPeerIsAskedByName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		made := newDaemons(ctx, t, 2)
		made.relays[1].Register("Echo", Echo{})
		server, err := made.relays[1].server(ctx)
		is.NoErr(err)
		dials, reachable := 0, true
		made.relays[0].peers.dial = func(context.Context, string) (net.Conn, error) {
			dials++
			if !reachable {
				return nil, errors.New("unreachable")
			}
			near, far := net.Pipe()
			go server.ServeConn(far)
			return near, nil
		}
		answer := ""
		is.NoErr(made.relays[0].Ask(ctx, "b", "Echo.Say", "hello", &answer))
		is.Equal(answer, "hello")
		is.True(errors.Is(made.relays[0].Ask(ctx, "b", "Echo.Say", "", &answer), ErrRefused))
		is.NoErr(made.relays[0].Ask(ctx, "b", "Echo.Say", "again", &answer))
		is.Equal(dials, 1)
		is.True(errors.Is(made.relays[0].Ask(ctx, "nobody", "Echo.Say", "x", &answer), ErrNotReached))
		reachable = false
		made.relays[0].peers.get("b").drop()
		is.True(errors.Is(made.relays[0].Ask(ctx, "b", "Echo.Say", "x", &answer), ErrNotReached))
		reachable = true
		is.True(errors.Is(made.relays[0].Ask(ctx, "b", "Echo.Say", "x", &answer), ErrNotReached))
		is.Equal(dials, 2)
		time.Sleep(brokenRest)
		is.NoErr(made.relays[0].Ask(ctx, "b", "Echo.Say", "back", &answer))
	})
}
