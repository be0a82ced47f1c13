// Package questiontime is the time budget of a question: a caller's request for what the
// journal says of a batch. Every timeout on the way of a question is a part of this budget and
// stands here; the packages on the way give the parts their local names.
//
//	a question's own time                                        Answer    1.3 s
//	|- the daemon's own read of the partition                    OwnRead   0.4 s
//	|- then beside it the partition's watcher                    Watcher   0.9 s
//	   |- the watcher is looked up in the group's list           Search    0.6 s at most
//	   |  |- one look, and the next read of a list that is late  List, ListRetry
//	   |- the watcher reads on, itself or through a peer         LostRead, Relayed, Refresh
//	the answer's way back to the caller                          Return    0.2 s
//
// A question that is kept open until there is news (a long poll) has these times beyond the one
// for which the caller asked it to be kept open. The package has only constants.
//
// # Usage
//
//	ctx, cancel := context.WithTimeout(ctx, wait+questiontime.Answer)
package questiontime

import "time"

// The caller's side.
const (
	// CallerTimeout is how long a caller waits for an answer before it leaves.
	CallerTimeout = 1500 * time.Millisecond
	// ReturnMargin is what the answer needs to reach the caller.
	ReturnMargin = 200 * time.Millisecond
	// AnswerTimeout is the time within which a question has its answer.
	AnswerTimeout = CallerTimeout - ReturnMargin
)

// Who answers.
const (
	// WatcherTimeout is how long the partition's watcher may take: twice what it takes one on a weak
	// link to read its partition after a start.
	WatcherTimeout = 900 * time.Millisecond
	// WatcherDelay is how long the daemon's own read is alone: as long as leaves the watcher its time.
	WatcherDelay = AnswerTimeout - WatcherTimeout
)

// How the watcher is found.
const (
	// SearchTimeout is how long a question looks for the watcher, which just after a start of all
	// daemons is not known yet; SearchPause is the time between two looks.
	SearchTimeout  = 600 * time.Millisecond
	SearchInterval = 100 * time.Millisecond
	// ListTimeout is how long one look waits for the group's list of watchers.
	ListTimeout = 150 * time.Millisecond
	// ListRetryDelay is after how long the list is read again beside a read that has no answer: one
	// that was lost leaves a search time for the next.
	ListRetryDelay = 2 * ListTimeout
)

// Reads of the journal for a question.
const (
	// ReadTimeout bounds a read: as long as anybody may wait for it.
	ReadTimeout = CallerTimeout
	// LostReadTimeout is how long a read may be overdue, while calls to other partitions are answered,
	// until it is given up as lost: a watcher has time to read again.
	LostReadTimeout = 600 * time.Millisecond
	// RelayTimeout is how long a peer may take for a call that it makes for a daemon whose own path
	// to the journal is lost.
	RelayTimeout = 700 * time.Millisecond
	// RefreshTimeout bounds the look for more where a part of the answer is known.
	RefreshTimeout = 100 * time.Millisecond
	// RetryDelay is the time between two reads for a caller that waits anyway.
	RetryDelay = 100 * time.Millisecond
)
