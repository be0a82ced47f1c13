package fakeengine

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"woodworks/internal/api/rollout"
)

// Token returns the token at a position (from 0) of a sample.
func Token(model, prompt string, seed, version uint64, position int) uint32 {
	hasher := xxhash.New()
	_, _ = hasher.WriteString(model + "\x00" + prompt + "\x00")
	var numbers [24]byte
	binary.BigEndian.PutUint64(numbers[0:], seed)
	binary.BigEndian.PutUint64(numbers[8:], version)
	binary.BigEndian.PutUint64(numbers[16:], uint64(position))
	_, _ = hasher.Write(numbers[:])
	return uint32(hasher.Sum64())
}

// FirstWrong returns the first position of a sample whose token is not the one of the
// version that its segments name for it, -1 if there is none.
func FirstWrong(model, prompt string, sample rollout.Result) int {
	position := 0
	for _, segment := range sample.Segments {
		for range segment.Tokens {
			if position == len(sample.Tokens) ||
				sample.Tokens[position] != Token(model, prompt, sample.Seed, segment.Version, position) {
				return position
			}
			position++
		}
	}
	if position < len(sample.Tokens) {
		return position
	}
	return -1
}

const (
	// lengthSigma is the spread of the log of the length: a few samples are
	// far longer than the rest.
	lengthSigma = 0.9
	shortest    = 4
)

// Length returns how many tokens a sample has if nothing cuts it: log-normal
// around the median.
func Length(prompt string, seed uint64, median int) int {
	bits := xxhash.Sum64String(prompt) ^ (seed * 0x9e3779b97f4a7c15)
	bits ^= bits >> 29
	bits *= 0xbf58476d1ce4e5b9
	bits ^= bits >> 32
	first := (float64(bits>>40) + 0.5) / (1 << 24)
	second := (float64(bits&0xffffff) + 0.5) / (1 << 24)
	normal := math.Sqrt(-2*math.Log(first)) * math.Cos(2*math.Pi*second)
	return max(shortest, int(float64(median)*math.Exp(lengthSigma*normal)))
}
