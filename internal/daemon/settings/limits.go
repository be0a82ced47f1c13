package settings

import (
	"fmt"

	"woodworks/internal/requests/holding"
)

// Limits bounds what one daemon holds at a time.
type Limits struct {
	// MaxBodyBytes is the largest request body accepted, in bytes.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// MemoryMB is what the process may use in all, in megabytes; 0 names no bound.
	MemoryMB int `yaml:"memory_mb"`
	// MemoryHeadroom is how much garbage may gather before the heap is collected, in
	// percent of what is live: less of it costs processor time and saves memory. The
	// bound of MemoryMB holds whatever it is.
	MemoryHeadroom int `yaml:"memory_headroom"`
	// HeldMB is how much may be held on behalf of clients in all, in megabytes: bodies and
	// answers that they, or replicas, have not taken yet. 0 is heldPart of MemoryMB.
	HeldMB int `yaml:"held_mb"`
	// HeldPerClientMB is how much of that one request may have, 0 for the usual part of it.
	HeldPerClientMB int `yaml:"held_per_client_mb"`
}

// heldPart is the part of the memory that may be held on behalf of clients, in percent: half
// of what the heap may fill. The rest is for what the daemon knows and for batches.
const heldPart = 35

// mebibyte is the unit of memory settings, in bytes.
const mebibyte = 1 << 20

// Held returns the bounds on what is held on behalf of clients, none where the memory has
// none.
func (l Limits) Held() holding.Limits {
	all := int64(l.HeldMB) * mebibyte
	if all == 0 {
		all = int64(l.MemoryMB) * mebibyte * heldPart / 100
	}
	held := holding.LimitsOf(all)
	if l.HeldPerClientMB > 0 {
		held.PerAccount = int64(l.HeldPerClientMB) * mebibyte
	}
	return held
}

const (
	// defaultHeadroom is the runtime's own, in percent.
	defaultHeadroom = 100
	// minHeadroom is the least headroom in percent: with less a process whose memory
	// hardly changes does little else than collect.
	minHeadroom = 10
)

// check adds a fault for each wrong bound.
func (l Limits) check(f *Faults) {
	f.require(l.MemoryMB >= 0, "limits.memory_mb", "must not be below 0")
	f.require(l.MemoryHeadroom >= minHeadroom, "limits.memory_headroom", fmt.Sprintf("must be at least %d", minHeadroom))
	f.require(l.HeldMB >= 0, "limits.held_mb", "must not be below 0")
	f.require(l.MemoryMB == 0 || l.HeldMB < l.MemoryMB, "limits.held_mb", "must be below memory_mb")
	f.require(l.HeldPerClientMB >= 0, "limits.held_per_client_mb", "must not be below 0")
	f.require(l.MaxBodyBytes > 0, "limits.max_body_bytes", "must be above 0")
}
