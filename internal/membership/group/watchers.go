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
	// listMaxAge is the age up to which the list of watchers counts as fresh, if it is of the
	// current generation.
	listMaxAge = 2 * time.Second
	// listTimeout is how long a caller waits for a read of the list of watchers.
	listTimeout = questiontime.ListTimeout
	// listReadTimeout bounds a read of the list. It is longer than listTimeout, as the result of
	// a read also serves later callers.
	listReadTimeout = joinTimeout
	// listReadRetryDelay is how long a read may be without an answer before a caller starts
	// another read in parallel. If the first read was lost, a question still has time for the
	// second one.
	listReadRetryDelay = questiontime.ListRetryDelay
)

// watcherList holds the watcher of each partition as last read from the journal. Member.mu
// guards it.
type watcherList struct {
	// byPartition is nil until a read has succeeded. Each read replaces the map and never
	// changes it, so that a map may be read without the mutex.
	byPartition map[journal.Partition]string
	// generation is the generation that this daemon knew when the read of the list began, and
	// readAt is the time at which that read began.
	generation int64
	readAt     time.Time
	// readDone is closed when the newest read ends; it is nil if no read is pending.
	// readStartedAt is the time at which the newest read began.
	readDone      chan struct{}
	readStartedAt time.Time
}

// WatcherOf returns the watcher of a partition, from a list that may be seconds out of date. If
// the list is not fresh, WatcherOf waits up to listTimeout for a new one. It returns false if
// the watcher is not known.
func (m *Member) WatcherOf(ctx context.Context, partition journal.Partition) (string, bool) {
	watcher, ok := m.recentWatchers(ctx)[partition]
	return watcher, ok
}

// WatchersOf returns the watchers of a topic's partitions, from a list that may be seconds out
// of date. A member is listed once for each partition that it watches. The result is empty if
// there is no usable list within listTimeout.
func (m *Member) WatchersOf(ctx context.Context, topic string) (watchers []string) {
	for partition, watcher := range m.recentWatchers(ctx) {
		if partition.Topic == topic {
			watchers = append(watchers, watcher)
		}
	}
	return watchers
}

// recentWatchers returns the watcher of each partition, or nil if there is no usable list within
// listTimeout. The returned map is never changed. Watchers change only with the generation. A
// list of the current generation that is no longer fresh is therefore still used if the new read
// is slow or fails, provided that a call to join has succeeded within memberTTL.
//
// A read continues after the callers that wait for it have left. Otherwise no read would ever
// succeed if the journal takes longer to answer than a caller waits.
func (m *Member) recentWatchers(ctx context.Context) map[journal.Partition]string {
	fresh, readDone := m.freshWatchers(ctx)
	if readDone == nil {
		return fresh
	}
	timer := time.NewTimer(listTimeout)
	defer timer.Stop()
	select {
	case <-readDone:
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

// freshWatchers returns the list if it is fresh. Otherwise it returns a channel that is closed
// when the newest read ends. It starts that read unless a read that began less than
// listReadRetryDelay ago is pending.
func (m *Member) freshWatchers(ctx context.Context) (fresh map[journal.Partition]string, readDone <-chan struct{}) {
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

// readContext returns the context for a read that a caller with the context ctx starts. This is
// the context of Run, so that the read continues when the caller leaves. If Run has not begun or
// its context has ended, it is ctx. The mutex must be held.
func (m *Member) readContext(ctx context.Context) context.Context {
	if m.runCtx == nil || m.runCtx.Err() != nil {
		return ctx
	}
	return m.runCtx
}

// isListFresh reports whether the list is of the current generation and younger than listMaxAge.
// The mutex must be held.
func (m *Member) isListFresh() bool {
	return m.watchers.byPartition != nil && m.watchers.generation == m.generation && time.Since(m.watchers.readAt) < listMaxAge
}

// readList reads the list of watchers and stores it with the given generation, in which the read
// began: the list may miss assignments of later generations. readList closes done when the read
// has ended.
func (m *Member) readList(ctx context.Context, generation int64, done chan struct{}) {
	bounded, cancel := context.WithTimeout(ctx, listReadTimeout)
	defer cancel()
	began := time.Now()
	rows, err := m.journal.Owners(bounded, groupName)
	m.mu.Lock()
	defer m.mu.Unlock()
	close(done)
	if m.watchers.readDone == done {
		m.watchers.readDone = nil
	}
	if err != nil {
		m.failedReads.Note(logging.Occurrence{Took: time.Since(began)}, zap.Error(err))
		return
	}
	if began.Before(m.watchers.readAt) {
		return // A read that began later was answered first.
	}
	m.watchers.byPartition = make(map[journal.Partition]string, len(rows))
	for _, row := range rows {
		m.watchers.byPartition[row.Partition] = row.Member
	}
	m.watchers.generation, m.watchers.readAt = generation, began
}
