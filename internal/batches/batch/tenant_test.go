package batch

import (
	"testing"

	"github.com/matryer/is"
)

// Callers of one tenant must not end a batch of another one. A batch without a tenant is open to all.
func TestOnlyTheTenantEndsABatch(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		owner, caller string
		ended         bool
	}{{"a", "a", true}, {"a", "b", false}, {"a", "", false}, {"", "b", true}, {"", "", true}} {
		state := NewStateAt(0)
		sub := submission("x", 1, 1)
		sub.Tenant = c.owner
		state.Apply(Accepted(sub, "owner"))
		state.Apply(Ended("x", c.caller))
		b, _ := state.Get("x")
		is.Equal(b.Ended, c.ended)
		is.Equal(b.Tenant, c.owner)
	}
}

// A repeated acceptance must not change the tenant of a batch.
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
