// Package announce holds facts that only grow and are spread by gossip: the
// newest weight version of each trainer, and which back ends are leaving.
//
// Invariant: for one (Kind, Subject) the Version held never falls. Merging is
// therefore commutative, associative and idempotent, so announcements may
// arrive late, doubled or out of order, and need no log and no leader.
package announce

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what an announcement is about.
type Kind string

const (
	// TrainerVersion announces that a trainer published weights: Subject is
	// the trainer, Version the weight version, Detail the artifact's name.
	TrainerVersion Kind = "trainer_version"
	// Drain is an operator's order for a back end: Subject is the machine's
	// name, an odd Version means leaving, an even one means back in service.
	Drain Kind = "drain"
	// InstanceLeaving says that one running instance of a back end is
	// leaving for good: Subject is "machine/instance", Version is 1.
	InstanceLeaving Kind = "instance_leaving"
	// DaemonGone is an operator's word that one run of a daemon is over for
	// good: Subject is its node identity, Version is 1.
	DaemonGone Kind = "daemon_gone"
)

// Key names one fact.
type Key struct {
	Kind    Kind
	Subject string
}

// Announcement is one fact with its version.
type Announcement struct {
	Key     Key
	Version uint64
	Detail  string
}

// transmitLimit is how many exchanges carry a fresh announcement before only
// the digest repairs gaps.
const transmitLimit = 12

type entry struct {
	announcement Announcement
	transmits    int
	changedAt    time.Time
}

// Board is one daemon's set of announcements. It is safe for concurrent use.
type Board struct {
	mutex    sync.Mutex
	entries  map[Key]*entry
	digest   uint64
	changed  chan struct{}
	capacity int
}

// NewBoard returns an empty board that holds at most capacity announcements.
// When it is full the oldest InstanceLeaving entries go first; their instances
// are long gone.
func NewBoard(capacity int) *Board {
	return &Board{entries: map[Key]*entry{}, changed: make(chan struct{}), capacity: capacity}
}

func hashOf(announcement Announcement) uint64 {
	hasher := xxhash.New()
	_, _ = hasher.WriteString(string(announcement.Key.Kind))
	_, _ = hasher.WriteString("\x00" + announcement.Key.Subject + "\x00" + announcement.Detail)
	var version [8]byte
	for i := range version {
		version[i] = byte(announcement.Version >> (8 * i))
	}
	_, _ = hasher.Write(version[:])
	return hasher.Sum64()
}

// newer reports whether candidate replaces held. Equal versions are settled by
// the larger detail, so that all boards settle alike.
func newer(candidate, held Announcement) bool {
	if candidate.Version != held.Version {
		return candidate.Version > held.Version
	}
	return candidate.Detail > held.Detail
}

// Merge takes in announcements and returns those that were news.
func (board *Board) Merge(now time.Time, announcements ...Announcement) []Announcement {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	var news []Announcement
	for _, announcement := range announcements {
		held, known := board.entries[announcement.Key]
		if known && !newer(announcement, held.announcement) {
			continue
		}
		if known {
			board.digest ^= hashOf(held.announcement)
		}
		board.entries[announcement.Key] = &entry{announcement: announcement, changedAt: now}
		board.digest ^= hashOf(announcement)
		news = append(news, announcement)
	}
	if len(news) > 0 {
		board.trim()
		close(board.changed)
		board.changed = make(chan struct{})
	}
	return news
}

// trim drops the oldest leaving notices above the capacity.
func (board *Board) trim() {
	excess := len(board.entries) - board.capacity
	if excess <= 0 {
		return
	}
	var leaving []*entry
	for _, held := range board.entries {
		if held.announcement.Key.Kind == InstanceLeaving {
			leaving = append(leaving, held)
		}
	}
	sort.Slice(leaving, func(i, j int) bool { return leaving[i].changedAt.Before(leaving[j].changedAt) })
	for i := 0; i < excess && i < len(leaving); i++ {
		board.digest ^= hashOf(leaving[i].announcement)
		delete(board.entries, leaving[i].announcement.Key)
	}
}

// Get returns the announcement for a key and whether there is one.
func (board *Board) Get(key Key) (Announcement, bool) {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	held, known := board.entries[key]
	if !known {
		return Announcement{}, false
	}
	return held.announcement, true
}

// Changed returns a channel that is closed at the next news.
func (board *Board) Changed() <-chan struct{} {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return board.changed
}

// Fresh returns up to limit announcements that have been sent least, and
// counts this sending.
func (board *Board) Fresh(limit int) []Announcement {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	var pending []*entry
	for _, held := range board.entries {
		if held.transmits < transmitLimit {
			pending = append(pending, held)
		}
	}
	sort.Slice(pending, func(i, j int) bool {
		if pending[i].transmits != pending[j].transmits {
			return pending[i].transmits < pending[j].transmits
		}
		return pending[i].announcement.Key.Subject < pending[j].announcement.Key.Subject
	})
	if len(pending) > limit {
		pending = pending[:limit]
	}
	fresh := make([]Announcement, len(pending))
	for i, held := range pending {
		held.transmits++
		fresh[i] = held.announcement
	}
	return fresh
}

// Digest returns a hash of the whole board, equal on boards that hold the same.
func (board *Board) Digest() uint64 {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	return board.digest
}

// All returns every announcement, ordered by kind and subject.
func (board *Board) All() []Announcement {
	board.mutex.Lock()
	defer board.mutex.Unlock()
	all := make([]Announcement, 0, len(board.entries))
	for _, held := range board.entries {
		all = append(all, held.announcement)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Key.Kind != all[j].Key.Kind {
			return all[i].Key.Kind < all[j].Key.Kind
		}
		return all[i].Key.Subject < all[j].Key.Subject
	})
	return all
}

// TrainerVersionOf returns the newest announced weight version of a trainer.
func (board *Board) TrainerVersionOf(trainer string) (version uint64, artifact string) {
	announcement, _ := board.Get(Key{Kind: TrainerVersion, Subject: trainer})
	return announcement.Version, announcement.Detail
}

// MachineDraining reports whether an operator has ordered the machine to leave.
func (board *Board) MachineDraining(machine string) bool {
	announcement, _ := board.Get(Key{Kind: Drain, Subject: machine})
	return announcement.Version%2 == 1
}

// InstanceSubject is the Subject of an InstanceLeaving announcement.
func InstanceSubject(machine, instance string) string { return machine + "/" + instance }

// IsDaemonGone reports whether an operator said that a daemon's run is over.
func (board *Board) IsDaemonGone(id string) bool {
	_, gone := board.Get(Key{Kind: DaemonGone, Subject: id})
	return gone
}

// IsInstanceLeaving reports whether this instance was announced as leaving.
func (board *Board) IsInstanceLeaving(machine, instance string) bool {
	_, leaving := board.Get(Key{Kind: InstanceLeaving, Subject: InstanceSubject(machine, instance)})
	return leaving
}
