package apikey

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestHolders(t *testing.T) {
	is := is.New(t)
	holders := Holders[string]{}
	is.True(holders.Add(DigestOf("one"), "a"))
	is.True(holders.Add(DigestOf("two"), "a"))
	is.True(!holders.Add(DigestOf("one"), "b")) // the key keeps its first holder
	holder, ok := holders.HolderOf("one")
	is.True(ok)
	is.Equal(holder, "a")
	_, ok = holders.HolderOf("three")
	is.True(!ok)
	_, ok = holders.HolderOf("")
	is.True(!ok)
}

func TestKeyInHeader(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]string{"Bearer k": "k", "bearer k": "k", "Bearer ": "", "Basic k": "", "": "", "k": ""} {
		key, sent := FromHeader(http.Header{"Authorization": {text}})
		is.Equal(key, want)
		is.Equal(sent, want != "")
	}
	header := http.Header{"Authorization": {"Bearer k"}, "Other": {"x"}}
	RemoveFromHeader(header)
	is.Equal(header, http.Header{"Other": {"x"}})
}

// Measures a lookup among many keys, whose time must not depend on their number.
func BenchmarkHolderOf(b *testing.B) {
	holders := Holders[int]{}
	for i := range 50_000 {
		holders.Add(DigestOf(string(rune(i))+"key"), i)
	}
	for b.Loop() {
		holders.HolderOf("key of nobody")
	}
}

func TestShortDigest(t *testing.T) {
	is := is.New(t)
	is.Equal(len(DigestOf("a").Short()), shortDigestLength)
	is.True(DigestOf("a").Short() != DigestOf("b").Short())
	is.Equal(DigestOf("a").String()[:shortDigestLength], DigestOf("a").Short())
}
