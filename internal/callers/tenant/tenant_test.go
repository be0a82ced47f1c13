package tenant

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func priority(value int) *int { return &value }

func TestDirectory(t *testing.T) {
	is := is.New(t)
	d, err := NewDirectory([]Declaration{{Name: "a", Keys: []string{"k1", "k2"}, Priority: priority(0)}, {Name: "b", Keys: []string{"k3"}}, {Name: "c"}})
	is.NoErr(err)
	for key, want := range map[string]string{"k1": "a", "k2": "a", "k3": "b"} {
		found, ok := d.ByKey(key)
		is.True(ok)
		is.Equal(found.Name, want)
	}
	_, ok := d.ByKey("k4")
	is.True(!ok)
	_, ok = d.ByKey("")
	is.True(!ok)
	is.Equal(d.ByName("a").EffectivePriority(2), 0) // the tenant's own priority
	is.Equal(d.ByName("b").EffectivePriority(2), 2)
	is.Equal(d.ByName("nobody").EffectivePriority(2), 2)
	is.Equal(len(d.byName), 3)
	is.Equal(len(d.byKey), 3)
}

// Guards against errors that don't name the wrong field, or that contain a key.
func TestInvalidDeclarations(t *testing.T) {
	cases := map[string]struct {
		declared []Declaration
		field    string
	}{
		"empty name":                 {[]Declaration{{Keys: []string{"secret"}}}, "tenants[0]: name"},
		"duplicate name":             {[]Declaration{{Name: "a"}, {Name: "a"}}, "tenants[1]: name"},
		"empty key":                  {[]Declaration{{Name: "a", Keys: []string{"secret", ""}}}, "tenants[0]: keys[1]"},
		"same key in two tenants":    {[]Declaration{{Name: "a", Keys: []string{"secret"}}, {Name: "b", Keys: []string{"secret"}}}, "tenants[1]: keys[0]"},
		"same key twice in a tenant": {[]Declaration{{Name: "a", Keys: []string{"secret", "secret"}}}, "tenants[0]: keys[1]"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := NewDirectory(test.declared)
			is.True(err != nil)
			is.True(strings.HasPrefix(err.Error(), test.field))
			is.True(!strings.Contains(err.Error(), "secret"))
		})
	}
}

func TestEmptyAndNilDirectory(t *testing.T) {
	is := is.New(t)
	d, err := NewDirectory(nil)
	is.NoErr(err)
	_, ok := d.ByKey("k")
	is.True(!ok)
	var none *Directory
	is.True(none.ByName("a") == nil)
}
