package apikey

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

func TestARingKnowsItsKeysOnly(t *testing.T) {
	is := is.New(t)
	ring := Holders[string]{}
	is.True(ring.Add(DigestOf("one"), "a"))
	is.True(ring.Add(DigestOf("two"), "a"))
	is.True(!ring.Add(DigestOf("one"), "b")) // the first holder keeps it
	holder, ok := ring.HolderOf("one")
	is.True(ok)
	is.Equal(holder, "a")
	_, ok = ring.HolderOf("three")
	is.True(!ok)
	_, ok = ring.HolderOf("")
	is.True(!ok)
}

func TestTheKeyOfARequest(t *testing.T) {
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

// A look-up costs the same with 5 keys as with 50,000.
func BenchmarkHolderOf(b *testing.B) {
	ring := Holders[int]{}
	for i := range 50_000 {
		ring.Add(DigestOf(string(rune(i))+"key"), i)
	}
	for b.Loop() {
		ring.HolderOf("key of nobody")
	}
}

func TestShortDigestsTellKeysApart(t *testing.T) {
	is := is.New(t)
	is.Equal(len(DigestOf("a").Short()), shortDigestLength)
	is.True(DigestOf("a").Short() != DigestOf("b").Short())
	is.Equal(DigestOf("a").String()[:shortDigestLength], DigestOf("a").Short())
}
