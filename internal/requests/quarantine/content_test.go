package quarantine

import (
	"testing"

	"github.com/matryer/is"
)

func TestDigestCoversEveryField(t *testing.T) {
	is := is.New(t)
	base := func() *Content {
		return &Content{Caller: "c", Method: "POST", Host: "h", Target: "/t", Body: []byte("b")}
	}
	seen := map[Digest]string{base().Digest(): "base"}
	is.Equal(base().Digest(), base().Digest())
	for name, change := range map[string]func(c *Content){
		"caller":        func(c *Content) { c.Caller = "d" },
		"method":        func(c *Content) { c.Method = "PUT" },
		"host":          func(c *Content) { c.Host = "i" },
		"target":        func(c *Content) { c.Target = "/t?q" },
		"body":          func(c *Content) { c.Body = []byte("bb") },
		"moved between": func(c *Content) { c.Host, c.Target = "h/", "t" },
		"into body":     func(c *Content) { c.Target, c.Body = "/", []byte("tb") },
	} {
		changed := base()
		change(changed)
		is.Equal(seen[changed.Digest()], "") // all digests differ
		seen[changed.Digest()] = name
	}
}

func TestParseDigest(t *testing.T) {
	is := is.New(t)
	d := (&Content{Target: "/x"}).Digest()
	read, err := ParseDigest(d.String())
	is.NoErr(err)
	is.Equal(read, d)
	for _, text := range []string{"", "ab", d.String() + "00", d.String()[1:] + "g"} {
		_, err := ParseDigest(text)
		is.Equal(err, ErrDigest)
	}
}

// BenchmarkDigest measures the cost for each request while any content is suspected.
func BenchmarkDigest(b *testing.B) {
	body := make([]byte, 8<<10)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		(&Content{Method: "POST", Host: "host", Target: "/path/of/a/request", Body: body}).Digest()
	}
}
