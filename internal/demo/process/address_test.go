package process

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// A port that nobody listened at was given to two programs at a time: each began to listen
// only once its settings were written, and a daemon that is restarted listens nowhere for
// a while.
func TestAnAddressStaysClaimed(t *testing.T) {
	is := is.New(t)
	address, err := FreeAddress()
	is.NoErr(err)
	is.True(!claim(address)) // nobody else may have it
	listener, err := net.Listen("tcp4", address)
	is.NoErr(err) // its owner may listen there
	is.NoErr(listener.Close())
	is.True(!claim(address)) // also while nothing listens
}
