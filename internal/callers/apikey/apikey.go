// Package apikey finds who holds an API key.
//
// Keys are secrets: they are kept and looked up as SHA-256 digests only. A look-up
// takes the same time however many keys there are, and its timing tells nothing about
// the keys that are held, as who guesses cannot choose the digest of a guess.
//
// # Usage
//
//	ring := apikey.Ring[string]{}
//	if !ring.Add(apikey.DigestOf(key), "operator") { ... } // the key is held already
//	key, sent := apikey.FromHeader(r.Header)
//	holder, known := ring.HolderOf(key)
package apikey

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// authorizationHeader is the header that carries a key, after the bearerPrefix.
const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "Bearer "
)

// errInvalidDigest is returned for a text that is no digest.
var errInvalidDigest = errors.New("not 64 lower-case hexadecimal digits")

// shortDigestLength is how many hexadecimal digits of a digest are logged: enough to tell the
// keys of one deployment apart.
const shortDigestLength = 8

// Digest stands for a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest reads a digest as String writes it.
func ParseDigest(text string) (Digest, error) {
	var parsed Digest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(parsed) || hex.EncodeToString(decoded) != text {
		return Digest{}, errInvalidDigest
	}
	copy(parsed[:], decoded)
	return parsed, nil
}

// String returns the whole digest as lower-case hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the beginning of the digest, for logs.
func (d Digest) Short() string { return d.String()[:shortDigestLength] }

// FromHeader returns the key that a request carries.
func FromHeader(header http.Header) (key string, sent bool) {
	text := header.Get(authorizationHeader)
	if len(text) <= len(bearerPrefix) || !strings.EqualFold(text[:len(bearerPrefix)], bearerPrefix) {
		return "", false
	}
	return text[len(bearerPrefix):], true
}

// RemoveFromHeader removes the key from a header that goes to somebody else.
func RemoveFromHeader(header http.Header) { delete(header, authorizationHeader) }

// Holders holds keys, each with its holder.
type Holders[T any] map[Digest]T

// Add gives a key to a holder. It returns false if the key is held already.
func (r Holders[T]) Add(digest Digest, holder T) bool {
	if _, held := r[digest]; held {
		return false
	}
	r[digest] = holder
	return true
}

// HolderOf returns who holds a key.
func (r Holders[T]) HolderOf(key string) (T, bool) {
	holder, ok := r[DigestOf(key)]
	return holder, ok
}
