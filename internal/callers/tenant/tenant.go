// Package tenant knows the tenants of a configuration and their keys.
//
// A tenant is a caller that the operator bills and ranks. Requests carry one of its
// keys; replicas are told its name. A directory is never changed once made: each
// configuration brings its own.
//
// # Usage
//
//	directory, err := tenant.NewDirectory([]tenant.Declared{{Name: "a", Keys: []string{"k"}}})
//	found, known := directory.Of(key)
package tenant

import (
	"github.com/pkg/errors"

	"woodworks/internal/callers/apikey"
)

// Tenant is one tenant. It is never changed once made.
type Tenant struct {
	Name string
	// Priority, if not nil, takes the place of the priority of a route, 0 being the
	// highest.
	Priority *int
}

// EffectivePriority returns the priority of the tenant's requests on a route of the given priority.
// A nil tenant, that of requests without a key, has none of its own.
func (t *Tenant) EffectivePriority(ofRoute int) int {
	if t == nil || t.Priority == nil {
		return ofRoute
	}
	return *t.Priority
}

// Declaration is a tenant as a configuration declares it.
type Declaration struct {
	Name     string
	Keys     []string
	Priority *int
}

// Directory finds tenants by key and by name.
type Directory struct {
	byKey  apikey.Ring[*Tenant]
	byName map[string]*Tenant
}

// NewDirectory checks the declared tenants. The error names the wrong field, never a key.
func NewDirectory(declared []Declaration) (*Directory, error) {
	d := &Directory{byKey: apikey.Ring[*Tenant]{}, byName: make(map[string]*Tenant, len(declared))}
	for i, decl := range declared {
		if err := d.add(decl); err != nil {
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
		return errors.Errorf("name: %q stands twice", declared.Name)
	}
	t := &Tenant{Name: declared.Name, Priority: declared.Priority}
	d.byName[declared.Name] = t
	for i, key := range declared.Keys {
		if key == "" {
			return errors.Errorf("keys[%d]: is empty", i)
		}
		digest := apikey.DigestOf(key)
		if !d.byKey.Add(digest, t) {
			return errors.Errorf("keys[%d]: the key with digest %s is held by %q already", i, digest.Short(), d.byKey[digest].Name)
		}
	}
	return nil
}

// ByKey returns the tenant that holds a key.
func (d *Directory) ByKey(key string) (*Tenant, bool) { return d.byKey.HolderOf(key) }

// ByName returns a tenant by its name, nil if there is none.
func (d *Directory) ByName(name string) *Tenant {
	if d == nil {
		return nil
	}
	return d.byName[name]
}
