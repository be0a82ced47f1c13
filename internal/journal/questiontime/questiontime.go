// Package questiontime defines the timeouts of a question: a caller's request for the state of a
// batch in the journal. All timeouts on the path of a question are parts of one budget and are
// defined here; the packages on that path refer to them by local names.
//
//	total                                                     AnswerTimeout   1.3 s
//	|- own read of the partition, alone                       WatcherDelay    0.4 s
//	|- in addition, a question to the partition's watcher     WatcherTimeout  0.9 s
//	   |- finding the watcher in the group's list             SearchTimeout   at most 0.6 s
//	   |  |- one read of the list, and its repetition         ListTimeout, ListRetryDelay
//	   |- the watcher reads, itself or through a peer         LostReadTimeout, RelayTimeout, RefreshTimeout
//	return of the answer to the caller                        ReturnMargin    0.2 s
//
// For a long poll, these times are added to the one for which the caller lets the question wait
// for news. The package has only constants.
//
// # Usage
//
//	ctx, cancel := context.WithTimeout(ctx, wait+questiontime.AnswerTimeout)
package questiontime

import "time"

// Time between a caller and the daemon.
const (
	// CallerTimeout is how long a caller waits for an answer before it disconnects.
	CallerTimeout = 1500 * time.Millisecond
	// ReturnMargin is the time reserved for sending the answer back to the caller.
	ReturnMargin = 200 * time.Millisecond
	// AnswerTimeout is the time within which a daemon must have the answer to a question.
	AnswerTimeout = CallerTimeout - ReturnMargin
)

// Times of the daemon's own read and of the question to the watcher.
const (
	// WatcherTimeout bounds a question to the partition's watcher. It is twice the time in which a
	// watcher on a slow link reads its partition after a start.
	WatcherTimeout = 900 * time.Millisecond
	// WatcherDelay is how long the daemon reads the journal alone before it also asks the watcher.
	WatcherDelay = AnswerTimeout - WatcherTimeout
)

// Times of the search for the watcher.
const (
	// SearchTimeout bounds the search for the watcher, which may be unknown just after all daemons
	// have started. SearchInterval is the time between two tries.
	SearchTimeout  = 600 * time.Millisecond
	SearchInterval = 100 * time.Millisecond
	// ListTimeout bounds how long one try waits for the group's list of watchers.
	ListTimeout = 150 * time.Millisecond
	// ListRetryDelay is the time after which a second read of the list is started beside one
	// without an answer, early enough for it to finish within SearchTimeout.
	ListRetryDelay = 2 * ListTimeout
)

// Times of reads of the journal for a question.
const (
	// ReadTimeout bounds a read. It is the longest time for which a caller may wait for it.
	ReadTimeout = CallerTimeout
	// LostReadTimeout is how long a read may be overdue, while calls to other partitions are
	// answered, before it is given up as lost. It leaves a watcher time to read again.
	LostReadTimeout = 600 * time.Millisecond
	// RelayTimeout bounds a call that a peer makes for a daemon that cannot reach the journal
	// itself.
	RelayTimeout = 700 * time.Millisecond
	// RefreshTimeout bounds a read for newer records when part of the answer is already known.
	RefreshTimeout = 100 * time.Millisecond
	// RetryDelay is the delay between two reads for a caller that is waiting for news.
	RetryDelay = 100 * time.Millisecond
)
