package group

import (
	"context"
	"time"

	"go.uber.org/zap"

	"woodworks/internal/daemon/logging"
	"woodworks/internal/journal"
	"woodworks/internal/journal/questiontime"
)

const (
	// ownersHold is how long the list of owners is believed within a generation.
	ownersHold = 2 * time.Second
	// ownersTimeout is how long a caller waits for the list.
	ownersTimeout = questiontime.List
	// ownersReadTimeout bounds a read of the list, which goes on for the callers to come.
	ownersReadTimeout = joinTimeout
	// ownersReadRest is after how long another read is begun beside one that has no answer yet:
	// one that was lost leaves a question time for the next.
	ownersReadRest = questiontime.ListRetry
)

// owners is who had which partition a moment ago.
type owners struct {
	// rows is never changed once it is here; nil until a read has been answered.
	rows map[journal.Partition]string
	// generation is the one in which the read began, at when.
	generation int64
	at         time.Time
	// reading is closed when the newest read ends, nil if that has ended; it began at readingAt.
	reading   chan struct{}
	readingAt time.Time
}

// OwnerOf returns the member that has a partition, as of a moment ago.
func (member *Member) OwnerOf(ctx context.Context, partition journal.Partition) (string, bool) {
	owner, known := member.recentOwners(ctx)[partition]
	return owner, known
}

// OwnersOf returns the members that have partitions of a topic, as of a moment ago. A
// member is listed once for each partition that it has.
func (member *Member) OwnersOf(ctx context.Context, topic string) (owners []string) {
	for partition, owner := range member.recentOwners(ctx) {
		if partition.Topic == topic {
			owners = append(owners, owner)
		}
	}
	return owners
}

// recentOwners returns who had which partition a moment ago, nil if that can't be learned
// within ownersTimeout. The map is never changed. Owners change with the generation only, so that
// a list of this one counts on while a newer read is late, as long as the group is heard of.
//
// A read outlasts the callers who wait for it: given up with each of them, it never ended
// where the journal takes longer to answer than they wait, and no owner was known to anybody: not
// in 1.5 s with answers of 0.25 s, now after 0.25 s (virtual time).
func (member *Member) recentOwners(ctx context.Context) map[journal.Partition]string {
	known, reading := member.ownersNow(ctx)
	if reading == nil {
		return known
	}
	timer := time.NewTimer(ownersTimeout)
	defer timer.Stop()
	select {
	case <-reading:
	case <-timer.C:
	case <-ctx.Done():
	}
	inTouch := member.Silence() < lifetime
	member.mutex.Lock()
	defer member.mutex.Unlock()
	if !member.ownersFresh() && !(inTouch && member.owners.generation == member.generation) {
		return nil
	}
	return member.owners.rows
}

// ownersNow returns the list if it is fresh, else what is closed when the read of a newer one
// ends; it begins that read unless one is under way.
func (member *Member) ownersNow(ctx context.Context) (known map[journal.Partition]string, reading <-chan struct{}) {
	member.mutex.Lock()
	defer member.mutex.Unlock()
	if member.ownersFresh() {
		return member.owners.rows, nil
	}
	if member.owners.reading == nil || time.Since(member.owners.readingAt) >= ownersReadRest {
		member.owners.reading, member.owners.readingAt = make(chan struct{}), time.Now()
		go member.readOwners(member.readContext(ctx), member.generation, member.owners.reading)
	}
	return nil, member.owners.reading
}

// readContext returns the context of a read that a caller begins: Run's, so that it goes on when
// the caller has left, and the caller's where Run has not begun or has ended. The mutex is held.
func (member *Member) readContext(ctx context.Context) context.Context {
	if member.running == nil || member.running.Err() != nil {
		return ctx
	}
	return member.running
}

// ownersFresh reports whether the list is believed. The mutex is held.
func (member *Member) ownersFresh() bool {
	return member.owners.rows != nil && member.owners.generation == member.generation && time.Since(member.owners.at) < ownersHold
}

// readOwners reads the list in a generation: what was dealt after the read began may not be in it.
// Ended is closed at the end.
func (member *Member) readOwners(ctx context.Context, generation int64, ended chan struct{}) {
	bounded, cancel := context.WithTimeout(ctx, ownersReadTimeout)
	defer cancel()
	began := time.Now()
	rows, err := member.journal.Owners(bounded, name)
	member.mutex.Lock()
	defer member.mutex.Unlock()
	close(ended)
	if member.owners.reading == ended {
		member.owners.reading = nil
	}
	if err != nil {
		member.unlearned.Note(logging.Occurrence{Took: time.Since(began)}, zap.Error(err))
		return
	}
	if began.Before(member.owners.at) {
		return // A later read was answered sooner.
	}
	member.owners.rows = make(map[journal.Partition]string, len(rows))
	for _, row := range rows {
		member.owners.rows[row.Partition] = row.Member
	}
	member.owners.generation, member.owners.at = generation, began
}
