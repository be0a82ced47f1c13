package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// shortDigest is how many bytes of a digest stand in a log line: enough to tell contents
// apart by eye.
const shortDigest = 6

// ErrDigest: a text is no digest in hexadecimal.
var ErrDigest = errors.New("quarantine: digest: want 64 hexadecimal digits")

// Digest names a content. It is a SHA-256, so that nobody can make a second content
// that is refused in place of, or along with, somebody else's.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the beginning of the digest, for logs.
func (d Digest) Short() string { return hex.EncodeToString(d[:shortDigest]) }

// ParseDigest reads what String wrote.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(d) {
		return Digest{}, ErrDigest
	}
	copy(d[:], decoded)
	return d, nil
}

// Content is what makes two requests the same to a replica: whose it is, where it goes
// and what it carries. Headers are left out, as ids and deadlines differ from try to try.
// It must not be copied, and its fields must not change, once Digest was called.
type Content struct {
	// Caller is the tenant that sent it, "" where there are none.
	Caller string
	Method string
	Host   string
	// Target is the path with its query.
	Target string
	Body   []byte

	once   sync.Once
	digest Digest
}

// Digest returns the content's name. It is computed at the first call: most requests
// never need one. That call takes time by the body, so that no lock should be held.
func (c *Content) Digest() Digest {
	c.once.Do(func() {
		sum := sha256.New()
		for _, part := range []string{c.Caller, c.Method, c.Host, c.Target} {
			// The length keeps the end of one part from being taken for the beginning of the next.
			_, _ = sum.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
			_, _ = io.WriteString(sum, part) // A hash takes all bytes.
		}
		_, _ = sum.Write(c.Body) // A hash takes all bytes.
		sum.Sum(c.digest[:0])
	})
	return c.digest
}
