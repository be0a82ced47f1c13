// Package apikey maps API keys to their holders.
//
// Keys are secrets: only their SHA-256 digests are stored and compared. The time of a lookup
// doesn't depend on the number of keys, and it reveals nothing useful about the stored keys,
// as an attacker can't choose the digest of a guess.
//
// # Usage
//
//	holders := apikey.Holders[string]{}
//	if !holders.Add(apikey.DigestOf(key), "operator") { ... } // the key already has a holder
//	key, sent := apikey.FromHeader(r.Header)
//	holder, known := holders.HolderOf(key)
package apikey

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// The key follows the prefix in the header, as in "Authorization: Bearer KEY".
const (
	authorizationHeader = "Authorization"
	bearerPrefix        = "Bearer "
)

// errInvalidDigest is the error of ParseDigest.
var errInvalidDigest = errors.New("not 64 lower-case hexadecimal digits")

// shortDigestLength is the number of hexadecimal digits of a shortened digest: enough to
// distinguish the keys of one deployment.
const shortDigestLength = 8

// Digest is the SHA-256 digest of a key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest parses a digest in the form that String returns. It accepts no other form, such as
// upper-case digits.
func ParseDigest(text string) (Digest, error) {
	var parsed Digest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(parsed) || hex.EncodeToString(decoded) != text {
		return Digest{}, errInvalidDigest
	}
	copy(parsed[:], decoded)
	return parsed, nil
}

// String returns the digest as 64 lower-case hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first digits of String, to identify a key in logs and errors.
func (d Digest) Short() string { return d.String()[:shortDigestLength] }

// FromHeader returns the bearer key in the Authorization header of a request. The result sent is
// false if there is none; the scheme isn't case-sensitive.
func FromHeader(header http.Header) (key string, sent bool) {
	text := header.Get(authorizationHeader)
	if len(text) <= len(bearerPrefix) || !strings.EqualFold(text[:len(bearerPrefix)], bearerPrefix) {
		return "", false
	}
	return text[len(bearerPrefix):], true
}

// RemoveFromHeader removes the key from a request's header, before the request is forwarded.
func RemoveFromHeader(header http.Header) { delete(header, authorizationHeader) }

// Holders maps the digests of keys to the holders of the keys. It is not safe for concurrent use
// with Add.
type Holders[T any] map[Digest]T

// Add registers a key for a holder. It returns false and changes nothing if the key already has a
// holder.
func (h Holders[T]) Add(digest Digest, holder T) bool {
	if _, exists := h[digest]; exists {
		return false
	}
	h[digest] = holder
	return true
}

// HolderOf returns the holder of a key, and whether it has one.
func (h Holders[T]) HolderOf(key string) (T, bool) {
	holder, ok := h[DigestOf(key)]
	return holder, ok
}
