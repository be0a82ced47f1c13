// Package tenant finds the tenants of a configuration by their API keys and names.
//
// A tenant is a caller that the operator bills and gives a priority. Its requests carry one of
// its keys; replicas receive its name instead. A directory is immutable: each configuration has
// its own.
//
// # Usage
//
//	directory, err := tenant.NewDirectory([]tenant.Declaration{{Name: "a", Keys: []string{"k"}}})
//	found, known := directory.ByKey(key)
package tenant

import (
	"github.com/pkg/errors"

	"woodworks/internal/callers/apikey"
)

// Tenant is a tenant of a configuration, without its keys. It is immutable and safe for concurrent
// use.
type Tenant struct {
	Name string
	// Priority, if not nil, overrides the priority of routes. 0 is the highest priority.
	Priority *int
}

// EffectivePriority returns the priority of the tenant's requests on a route with routePriority:
// the tenant's own or, if it has none, the route's. A nil tenant, for requests without a key, has
// none.
func (t *Tenant) EffectivePriority(routePriority int) int {
	if t == nil || t.Priority == nil {
		return routePriority
	}
	return *t.Priority
}

// Declaration is the declaration of a tenant in a configuration, with its keys in plain text.
type Declaration struct {
	Name     string
	Keys     []string
	Priority *int
}

// Directory finds the tenants of a configuration by key and by name. It is immutable and safe for
// concurrent use.
type Directory struct {
	byKey  apikey.Holders[*Tenant]
	byName map[string]*Tenant
}

// NewDirectory returns a directory of the declared tenants. It returns an error if a name or a key
// is empty or declared twice; the error names the field and never contains a key.
func NewDirectory(declared []Declaration) (*Directory, error) {
	d := &Directory{byKey: apikey.Holders[*Tenant]{}, byName: make(map[string]*Tenant, len(declared))}
	for i, declaration := range declared {
		if err := d.add(declaration); err != nil {
			return nil, errors.Wrapf(err, "tenants[%d]", i)
		}
	}
	return d, nil
}

func (d *Directory) add(declared Declaration) error {
	if declared.Name == "" {
		return errors.New("name: is empty")
	}
	if d.byName[declared.Name] != nil {
		return errors.Errorf("name: %q is declared twice", declared.Name)
	}
	t := &Tenant{Name: declared.Name, Priority: declared.Priority}
	d.byName[declared.Name] = t
	for i, key := range declared.Keys {
		if key == "" {
			return errors.Errorf("keys[%d]: is empty", i)
		}
		digest := apikey.DigestOf(key)
		if !d.byKey.Add(digest, t) {
			return errors.Errorf("keys[%d]: the key with digest %s already belongs to %q", i, digest.Short(), d.byKey[digest].Name)
		}
	}
	return nil
}

// ByKey returns the tenant with the given key, and whether there is one.
func (d *Directory) ByKey(key string) (*Tenant, bool) { return d.byKey.HolderOf(key) }

// ByName returns the tenant with the given name, or nil if there is none or d is nil.
func (d *Directory) ByName(name string) *Tenant {
	if d == nil {
		return nil
	}
	return d.byName[name]
}
