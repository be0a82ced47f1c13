package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// shortDigest is the number of digest bytes shown in log lines.
const shortDigest = 6

// ErrDigest is returned by ParseDigest for a text that is not 64 hexadecimal digits.
var ErrDigest = errors.New("quarantine: digest: want 64 hexadecimal digits")

// Digest identifies a Content. It is a SHA-256 hash, so a caller cannot craft a second content
// that is refused together with, or in place of, another caller's.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first 12 hexadecimal digits of the digest, for log lines.
func (d Digest) Short() string { return hex.EncodeToString(d[:shortDigest]) }

// ParseDigest parses the result of String. It returns ErrDigest for any other text.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(d) {
		return Digest{}, ErrDigest
	}
	copy(d[:], decoded)
	return d, nil
}

// Content holds the parts of a request that decide whether a replica processes two requests
// alike: the tenant, the destination and the body. Headers are excluded because request ids and
// deadlines differ between attempts. A Content must not be copied, and its fields must not
// change after the first call of Digest.
type Content struct {
	// Caller is the tenant that sent the request, or "" if the platform has no tenants.
	Caller string
	Method string
	Host   string
	// Target is the path with the query.
	Target string
	Body   []byte
	// Owed says that the request was handed in to run later. Such a request is never refused for good,
	// however many replicas have ended under it: it runs in isolation, seconds apart. Owed is
	// not part of the digest.
	Owed bool

	once   sync.Once
	digest Digest
}

// Digest returns the identifier of the content. The first call takes time proportional to the
// size of the body, so it should be made without holding a lock; later calls return the cached
// value. Digest is safe for concurrent use.
func (c *Content) Digest() Digest {
	c.once.Do(func() {
		sum := sha256.New()
		for _, part := range []string{c.Caller, c.Method, c.Host, c.Target} {
			// The length prefix keeps adjacent parts apart: "ab"+"c" and "a"+"bc" hash
			// differently.
			_, _ = sum.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
			_, _ = io.WriteString(sum, part) // hash.Hash never returns an error
		}
		_, _ = sum.Write(c.Body) // hash.Hash never returns an error
		sum.Sum(c.digest[:0])
	})
	return c.digest
}
