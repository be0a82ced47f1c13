package batch

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against fragments of refused batches that each fold keeps until the daemon exceeds its memory.
func TestAbandonedFragmentsAreDropped(t *testing.T) {
	is := is.New(t)
	state := NewStateAt(0)
	parts := Fragment(Accepted(submission("x", 20, 1), "owner"), fragmentOverhead+200, "key")
	is.True(len(parts) > 2)
	for _, part := range parts[:2] {
		is.NoErr(state.Apply(part))
	}
	is.Equal(len(state.fragments), 1)
	is.NoErr(state.Apply(FragmentsAbandoned("key")))
	is.Equal(len(state.fragments), 0)
	for _, part := range parts { // carried out late
		is.NoErr(state.Apply(part))
	}
	is.Equal(len(state.fragments), 0)
	_, ok := state.Get("x")
	is.True(!ok)
	for _, part := range Fragment(Accepted(submission("x", 20, 1), "owner"), fragmentOverhead+200, "again") {
		is.NoErr(state.Apply(part))
	}
	_, ok = state.Get("x")
	is.True(ok)
}

// Guards against a state that remembers all fragments that were ever abandoned, or those of which it has not
// read the beginning.
func TestAbandonedKeysAreBounded(t *testing.T) {
	is := is.New(t)
	state := NewStateAt(0)
	for i := range 3 * maxAbandoned {
		is.NoErr(state.Apply(FragmentsAbandoned(fmt.Sprint(i))))
	}
	is.Equal(len(state.abandoned), maxAbandoned)
	parts := Fragment(Accepted(submission("x", 20, 1), "owner"), fragmentOverhead+200, "key")
	for _, part := range parts[1:] {
		is.NoErr(state.Apply(part))
	}
	is.Equal(len(state.fragments), 0)
}
