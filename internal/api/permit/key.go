package permit

import (
	"regexp"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Key is a caller's name for one request that must not run twice.
type Key struct {
	Text string
	// IssuedAt is when the caller made the key.
	IssuedAt time.Time
}

var keyPattern = regexp.MustCompile(`^([0-9]{13})-[A-Za-z0-9_.]{8,64}$`)

// Errors of a key.
var (
	// ErrInvalidKey is returned for a text that is not a request key.
	ErrInvalidKey = errors.New(`must be a 13-digit Unix time in milliseconds, "-", and 8 to 64 letters, digits, "_" or "."`)
	// ErrExpired is returned for a key that may have been forgotten.
	ErrExpired = errors.New("is older than keys are remembered")
	// ErrFutureKey is returned for a key made in the future.
	ErrFutureKey = errors.New("was made in the future")
)

// ParseKey reads a request key. The time in it tells every daemon alike when
// the key may be forgotten.
func ParseKey(text string) (Key, error) {
	match := keyPattern.FindStringSubmatch(text)
	if match == nil {
		return Key{}, ErrInvalidKey
	}
	ms, err := strconv.ParseInt(match[1], 10, 64)
	if err != nil {
		return Key{}, ErrInvalidKey
	}
	return Key{Text: text, IssuedAt: time.UnixMilli(ms)}, nil
}

// Check says whether the permits remember a key for long enough after now.
func (p *Permits) Check(key Key, now time.Time) error {
	switch age := now.Sub(key.IssuedAt); {
	case age > p.retention-clockMargin:
		return ErrExpired
	case age < -clockMargin:
		return ErrFutureKey
	}
	return nil
}
