package batch

import (
	"testing"

	"github.com/matryer/is"
)

// A batch is ended by its tenant's callers alone. One that was submitted without a
// tenant is anyone's.
func TestOnlyItsTenantEndsABatch(t *testing.T) {
	is := is.New(t)
	for _, one := range []struct {
		owner, caller string
		ended         bool
	}{{"a", "a", true}, {"a", "b", false}, {"a", "", false}, {"", "b", true}, {"", "", true}} {
		state := NewState()
		made := submission("x", 1, 1)
		made.Tenant = one.owner
		state.Apply(Accepted(made, "owner"))
		state.Apply(Ended("x", one.caller))
		known, _ := state.Get("x")
		is.Equal(known.Ended, one.ended)
		is.Equal(known.Tenant, one.owner)
	}
}

// The first acceptance decides whose a batch is.
func TestABatchKeepsItsTenant(t *testing.T) {
	is := is.New(t)
	state := NewState()
	for _, tenant := range []string{"a", "b"} {
		made := submission("x", 1, 1)
		made.Tenant = tenant
		state.Apply(Accepted(made, "owner"))
	}
	known, _ := state.Get("x")
	is.Equal(known.Tenant, "a")
	is.True(known.BelongsTo("a"))
	is.True(!known.BelongsTo("b"))
}
