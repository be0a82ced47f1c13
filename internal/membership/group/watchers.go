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
	// listMaxAge is how long the list of watchers is believed within a generation.
	listMaxAge = 2 * time.Second
	// listTimeout is how long a caller waits for the list.
	listTimeout = questiontime.List
	// listReadTimeout bounds a read of the list, which goes on for the callers to come.
	listReadTimeout = joinTimeout
	// listReadRetryDelay is after how long another read is begun beside one that has no answer yet:
	// one that was lost leaves a question time for the next.
	listReadRetryDelay = questiontime.ListRetry
)

// watcherList is who had which partition a moment ago.
type watcherList struct {
	// byPartition is never changed once it is here; nil until a read has been answered.
	byPartition map[journal.Partition]string
	// generation is the one in which the read began, at when.
	generation int64
	readAt     time.Time
	// readDone is closed when the newest read ends, nil if that has ended; it began at readingAt.
	readDone      chan struct{}
	readStartedAt time.Time
}

// WatcherOf returns the member that has a partition, as of a moment ago.
func (m *Member) WatcherOf(ctx context.Context, partition journal.Partition) (string, bool) {
	watcher, ok := m.recentWatchers(ctx)[partition]
	return watcher, ok
}

// WatchersOf returns the members that have partitions of a topic, as of a moment ago. A
// member is listed once for each partition that it has.
func (m *Member) WatchersOf(ctx context.Context, topic string) (watchers []string) {
	for partition, watcher := range m.recentWatchers(ctx) {
		if partition.Topic == topic {
			watchers = append(watchers, watcher)
		}
	}
	return watchers
}

// recentWatchers returns who had which partition a moment ago, nil if that can't be learned
// within listTimeout. The map is never changed. Watchers change with the generation only, so that
// a list of this one counts on while a newer read is late, as long as the group is heard of.
//
// A read outlasts the callers who wait for it: given up with each of them, it never ended
// where the journal takes longer to answer than they wait, and no watcher was known to
// anybody.
func (m *Member) recentWatchers(ctx context.Context) map[journal.Partition]string {
	fresh, reading := m.freshWatchers(ctx)
	if reading == nil {
		return fresh
	}
	timer := time.NewTimer(listTimeout)
	defer timer.Stop()
	select {
	case <-reading:
	case <-timer.C:
	case <-ctx.Done():
	}
	inTouch := m.Silence() < memberTTL
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isListFresh() && !(inTouch && m.watchers.generation == m.generation) {
		return nil
	}
	return m.watchers.byPartition
}

// freshWatchers returns the list if it is fresh, else what is closed when the read of a newer one
// ends; it begins that read unless one is under way.
func (m *Member) freshWatchers(ctx context.Context) (fresh map[journal.Partition]string, reading <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isListFresh() {
		return m.watchers.byPartition, nil
	}
	if m.watchers.readDone == nil || time.Since(m.watchers.readStartedAt) >= listReadRetryDelay {
		m.watchers.readDone, m.watchers.readStartedAt = make(chan struct{}), time.Now()
		go m.readList(m.readContext(ctx), m.generation, m.watchers.readDone)
	}
	return nil, m.watchers.readDone
}

// readContext returns the context of a read that a caller begins: Run's, so that it goes on when
// the caller has left, and the caller's where Run has not begun or has ended. The mutex is held.
func (m *Member) readContext(ctx context.Context) context.Context {
	if m.runCtx == nil || m.runCtx.Err() != nil {
		return ctx
	}
	return m.runCtx
}

// isListFresh reports whether the list is believed. The mutex is held.
func (m *Member) isListFresh() bool {
	return m.watchers.byPartition != nil && m.watchers.generation == m.generation && time.Since(m.watchers.readAt) < listMaxAge
}

// readList reads the list in a generation: what was dealt after the read began may not be in it.
// Ended is closed at the end.
func (m *Member) readList(ctx context.Context, generation int64, ended chan struct{}) {
	bounded, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	began := time.Now()
	rows, err := m.journal.Owners(bounded, groupName)
	m.mu.Lock()
	defer m.mu.Unlock()
	close(ended)
	if m.watchers.readDone == ended {
		m.watchers.readDone = nil
	}
	if err != nil {
		m.failedReads.Note(logging.Occurrence{Took: time.Since(began)}, zap.Error(err))
		return
	}
	if began.Before(m.watchers.readAt) {
		return // A later read was answered sooner.
	}
	m.watchers.byPartition = make(map[journal.Partition]string, len(rows))
	for _, row := range rows {
		m.watchers.byPartition[row.Partition] = row.Member
	}
	m.watchers.generation, m.watchers.readAt = generation, began
}
