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
		state := NewStateAt(0)
		sub := submission("x", 1, 1)
		sub.Tenant = one.owner
		state.Apply(Accepted(sub, "owner"))
		state.Apply(Ended("x", one.caller))
		b, _ := state.Get("x")
		is.Equal(b.Ended, one.ended)
		is.Equal(b.Tenant, one.owner)
	}
}

// The first acceptance decides whose a batch is.
func TestABatchKeepsItsTenant(t *testing.T) {
	is := is.New(t)
	state := NewStateAt(0)
	for _, tenant := range []string{"a", "b"} {
		sub := submission("x", 1, 1)
		sub.Tenant = tenant
		state.Apply(Accepted(sub, "owner"))
	}
	b, _ := state.Get("x")
	is.Equal(b.Tenant, "a")
	is.True(b.BelongsTo("a"))
	is.True(!b.BelongsTo("b"))
}
