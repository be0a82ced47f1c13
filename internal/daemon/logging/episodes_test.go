package logging

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/zap"
)

const tick = 10 * time.Millisecond

// found has an occurrence noted each tick for some time.
func found(episodes *Episodes, key string, subjects int, lasting time.Duration) {
	for i := range int(lasting / tick) {
		episodes.Note(Occurrence{Key: key, Subject: fmt.Sprint("peer-", i%subjects), Took: time.Duration(i%7) * time.Second}, zap.Error(errors.New("lost")))
		time.Sleep(tick)
	}
}

// A condition that is found 100 times a second was a line each time.
func TestARepeatedConditionIsALineASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		written := &lines{}
		episodes := NewEpisodes(newTestLogger(written, time.Now), "peer left alone", "reason", "peers")
		found(episodes, "has lost the journal as well", 66, 10*time.Second)
		time.Sleep(2 * episodeQuiet)
		told := strings.Split(strings.TrimSpace(written.String()), "\n")
		is.True(strings.Contains(told[0], `event="peer left alone" reason="has lost the journal as well" error=lost`))
		is.True(len(told) >= 10)
		is.True(len(told) <= 12)
		last := told[len(told)-1]
		is.True(strings.Contains(last, `reason="has lost the journal as well" phase=over times=1000 peers=66 longest=6`))
		is.True(strings.Contains(last, "for=9.99"))
	})
}

// What comes once has one line, and comes in full again when it comes anew.
func TestWhatComesOnceIsOneLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		written := &lines{}
		episodes := NewEpisodes(newTestLogger(written, time.Now), "replica failed", "replica", "")
		for range 3 {
			episodes.Note(Occurrence{Key: "a"}, zap.Error(errors.New("reset")))
			time.Sleep(2 * episodeQuiet)
		}
		is.Equal(strings.Count(written.String(), "replica=a error=reset\n"), 3)
		is.Equal(strings.Count(written.String(), "\n"), 3)
	})
}

// An episode that goes on with pauses shorter than its quiet time is one.
func TestAnEpisodeBearsPauses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		written := &lines{}
		episodes := NewEpisodes(newTestLogger(written, time.Now), "peer left alone", "reason", "peers")
		for range 5 {
			episodes.Note(Occurrence{Key: "not reached", Subject: "a", Times: 2}, zap.String("peer", "a"))
			time.Sleep(3 * time.Second)
		}
		time.Sleep(2 * episodeQuiet)
		is.Equal(strings.Count(written.String(), "peer=a"), 1)
		is.Equal(strings.Count(written.String(), `phase="goes on"`), 4)
		is.True(strings.Contains(written.String(), "phase=over times=10 peers=1"))
	})
}

// Keys beyond the bound are summed as one, and are none once they are over.
func TestKeysAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		written := &lines{}
		episodes := NewEpisodes(newTestLogger(written, time.Now), "replica failed", "replica", "")
		for i := range 10 * maxEpisodes {
			episodes.Note(Occurrence{Key: fmt.Sprint("r", i)})
		}
		is.Equal(len(episodes.open), maxEpisodes+1)
		is.Equal(strings.Count(written.String(), "\n"), maxEpisodes+1)
		time.Sleep(2 * episodeQuiet)
		synctest.Wait()
		is.Equal(len(episodes.open), 0)
		is.True(strings.Contains(written.String(), fmt.Sprintf("replica=others phase=over times=%d", 9*maxEpisodes)))
	})
}

// floods are the lines that a daemon repeats under load, with what is usual in them: those
// of a request, an item, a replica or a content each name one, so that they aren't summed.
var floods = []struct {
	event, reason string
	fields        []zap.Field
}{
	{"request", "refused", nil}, {"request", "answered", nil}, {"no route", "", nil}, {"attempt failed", "broken", nil}, {"stream attempt failed", "", nil},
	{"item finished", "done", nil}, {"item finished", "dead", nil}, {"item moved", "", nil}, {"item attempt failed", "", nil},
	{"content entry merged", "", nil}, {"content cleared", "", nil}, {"replica listed", "", nil}, {"replica gone from the list", "", nil}, {"weight change ended", "", nil}, {"weight change ordered", "", nil},
	{"version announced", "", nil}, {"results not listed yet", "", nil}, {"dependency lost", "", nil}, {"dependency regained", "", nil},
}

// One second of a flood of all kinds of lines at once was 200 of each, and 38,926 lines of
// one kind in a day of 100 s. In all it is 1,000 lines and 256 KiB and a line.
func TestAFloodOfAllKindsIsBounded(t *testing.T) {
	is := is.New(t)
	written := &lines{}
	now := time.Unix(1000, 0)
	logger := newTestLogger(written, func() time.Time { return now })
	const longest = 2000
	for i := range 3 * linesPerSecond {
		for _, each := range floods {
			logger.Info(each.event, zap.String("outcome", each.reason), zap.Int("n", i), zap.String("error", strings.Repeat("x", longest*(i%4)/4)))
		}
	}
	is.True(strings.Count(written.String(), "\n") <= linesInAll)
	is.True(len(written.String()) <= bytesInAll+2*longest)
	// What is wrong is told beside it, and the next second begins anew.
	logger.Warn("own path to the journal lost")
	is.True(strings.Contains(written.String(), "own path to the journal lost"))
	first := len(written.String())
	now = now.Add(time.Second)
	logger.Info("request", zap.String("outcome", "answered"))
	rest := written.String()[first:]
	is.Equal(strings.Count(rest, `event="log lines left out"`), len(floods))
	is.True(strings.Contains(rest, "event=request outcome=answered"))
}

// A second of very many short lines is bounded by their number.
func TestAFloodOfShortLinesIsBounded(t *testing.T) {
	is := is.New(t)
	written := &lines{}
	logger := newTestLogger(written, func() time.Time { return time.Unix(1000, 0) })
	for i := range 2 * linesInAll {
		logger.Info(fmt.Sprint("e", i%20))
		logger.Warn(fmt.Sprint("e", i%20))
	}
	is.Equal(strings.Count(written.String(), "\n"), linesInAll)
}
