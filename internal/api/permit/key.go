package permit

import (
	"regexp"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Key is a caller's name for a request that must not run twice.
type Key struct {
	Text string
	// IssuedAt is the time in the key, set by the caller.
	IssuedAt time.Time
}

var keyPattern = regexp.MustCompile(`^([0-9]{13})-[A-Za-z0-9_.]{8,64}$`)

// Errors of keys. Their texts are part of the answers to callers.
var (
	// ErrInvalidKey is returned for a text that is not a request key.
	ErrInvalidKey = errors.New(`must be a 13-digit Unix time in milliseconds, "-", and 8 to 64 letters, digits, "_" or "."`)
	// ErrExpired is returned for a key whose claim may have been removed already.
	ErrExpired = errors.New("is older than keys are remembered")
	// ErrFutureKey is returned for a key whose time is in the future.
	ErrFutureKey = errors.New("was made in the future")
)

// ParseKey parses a request key. All daemons expire the key by the time in it. The error is
// ErrInvalidKey.
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

// Check returns nil if a key is remembered long enough after now to be claimed, and ErrExpired or
// ErrFutureKey otherwise.
func (p *Permits) Check(key Key, now time.Time) error {
	switch age := now.Sub(key.IssuedAt); {
	case age > p.retention-clockMargin:
		return ErrExpired
	case age < -clockMargin:
		return ErrFutureKey
	}
	return nil
}
