package questiontime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a timeout that exceeds the part of the budget that contains it.
func TestTimeoutsFitTheBudget(t *testing.T) {
	is := is.New(t)
	is.Equal(AnswerTimeout+ReturnMargin, CallerTimeout)                  // The answer arrives before the caller disconnects.
	is.Equal(WatcherDelay+WatcherTimeout, AnswerTimeout)                 // The watcher has its whole timeout when it is asked after the delay.
	is.True(WatcherDelay+SearchTimeout+2*ListTimeout <= AnswerTimeout)   // A watcher found late has time to answer from memory.
	is.True(ListRetryDelay+ListTimeout+SearchInterval < SearchTimeout)   // One lost read of the list does not end the search.
	is.True(LostReadTimeout+RefreshTimeout+ListTimeout < WatcherTimeout) // The watcher can read again after a lost read.
	is.True(RelayTimeout < WatcherTimeout)                               // The watcher can read through a peer.
	is.True(RefreshTimeout < WatcherDelay)                               // A refresh does not delay the question to the watcher.
	is.True(ReadTimeout >= AnswerTimeout)                                // A read may outlast its question, and then serves the next one.
}

// Guards against an unintended change of a timeout.
func TestTimeoutValues(t *testing.T) {
	for name, each := range map[string]struct{ got, want time.Duration }{
		"caller timeout":    {CallerTimeout, 1500 * time.Millisecond},
		"return margin":     {ReturnMargin, 200 * time.Millisecond},
		"answer timeout":    {AnswerTimeout, 1300 * time.Millisecond},
		"watcher timeout":   {WatcherTimeout, 900 * time.Millisecond},
		"watcher delay":     {WatcherDelay, 400 * time.Millisecond},
		"search timeout":    {SearchTimeout, 600 * time.Millisecond},
		"search interval":   {SearchInterval, 100 * time.Millisecond},
		"list timeout":      {ListTimeout, 150 * time.Millisecond},
		"list retry delay":  {ListRetryDelay, 300 * time.Millisecond},
		"read timeout":      {ReadTimeout, 1500 * time.Millisecond},
		"lost read timeout": {LostReadTimeout, 600 * time.Millisecond},
		"relay timeout":     {RelayTimeout, 700 * time.Millisecond},
		"refresh timeout":   {RefreshTimeout, 100 * time.Millisecond},
		"retry delay":       {RetryDelay, 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(each.got, each.want) })
	}
}
