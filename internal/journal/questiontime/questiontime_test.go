package questiontime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The parts of the budget fit: nothing that a question waits for outlasts what it is a part of.
func TestThePartsFit(t *testing.T) {
	is := is.New(t)
	is.Equal(AnswerTimeout+ReturnMargin, CallerTimeout)                  // The answer arrives before its caller leaves.
	is.Equal(WatcherDelay+WatcherTimeout, AnswerTimeout)                 // A watcher that is asked late has its whole time.
	is.True(WatcherDelay+SearchTimeout+2*ListTimeout <= AnswerTimeout)   // One that is found late has time to tell what it holds.
	is.True(ListRetryDelay+ListTimeout+SearchInterval < SearchTimeout)   // A search outlasts a lost read of the list.
	is.True(LostReadTimeout+RefreshTimeout+ListTimeout < WatcherTimeout) // A watcher reads again after a lost read.
	is.True(RelayTimeout < WatcherTimeout)                               // A watcher may have lost its own path.
	is.True(RefreshTimeout < WatcherDelay)                               // A look for more doesn't make a question late.
	is.True(ReadTimeout >= AnswerTimeout)                                // A read outlasts its question, so that it counts for the next.
}

// The durations are those that the software runs with: a change of one is a change of behaviour.
func TestTheDurations(t *testing.T) {
	for name, each := range map[string]struct{ got, want time.Duration }{
		"caller patience": {CallerTimeout, 1500 * time.Millisecond},
		"return":          {ReturnMargin, 200 * time.Millisecond},
		"answer":          {AnswerTimeout, 1300 * time.Millisecond},
		"watcher":         {WatcherTimeout, 900 * time.Millisecond},
		"own read":        {WatcherDelay, 400 * time.Millisecond},
		"search":          {SearchTimeout, 600 * time.Millisecond},
		"search pause":    {SearchInterval, 100 * time.Millisecond},
		"list":            {ListTimeout, 150 * time.Millisecond},
		"list retry":      {ListRetryDelay, 300 * time.Millisecond},
		"read":            {ReadTimeout, 1500 * time.Millisecond},
		"lost read":       {LostReadTimeout, 600 * time.Millisecond},
		"relayed":         {RelayTimeout, 700 * time.Millisecond},
		"refresh":         {RefreshTimeout, 100 * time.Millisecond},
		"retry pause":     {RetryDelay, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(each.got, each.want) })
	}
}
