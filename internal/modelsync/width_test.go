package modelsync

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_800_000_000, 0)

// rounds plays changes, as many at a time as the width allows, against a source
// that bears bears of them at a time, and returns the width at the end.
func rounds(w *width, count, waiting, bears int) int {
	now := testStart
	if w.narrowedAt.After(now) {
		now = w.narrowedAt
	}
	for i := 0; i < count; i++ {
		places := min(w.places(), waiting)
		took := time.Second
		if places > bears {
			took = took * time.Duration(places) / time.Duration(bears)
		}
		for j := 0; j < places; j++ {
			w.waiting = waiting
			w.done(now, now.Add(took))
		}
		now = now.Add(took)
	}
	return w.places()
}

func TestFewWaitingStayNarrow(t *testing.T) {
	is := is.New(t)
	is.Equal(rounds(&width{}, 20, 8, 100), leastWidth)
}

// Hundreds of engines are brought along within some rounds (sweep of
// qarmoud-arena: 46 changes in all at 300 engines, two at a time).
func TestManyWaitingWiden(t *testing.T) {
	is := is.New(t)
	is.True(rounds(&width{}, 5, 300, 1000) >= 32)
}

func TestTheWidthStaysNearWhatTheSourceBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bears := rapid.IntRange(2, 50).Draw(t, "bears")
		w := &width{}
		rounds(w, 10, 1000, bears)
		most := 0
		for i := 0; i < 20; i++ {
			most = max(most, rounds(w, 1, 1000, bears))
		}
		if most > 4*bears+2 {
			t.Fatalf("%d at a time, the source bears %d", most, bears)
		}
	})
}

// A holder that stands still under some changes finds all of them slow at once. That is
// one sign, and the next changes are looked at as soon as they may be done.
func TestAPauseUnderSomeChangesIsOvercomeSoon(t *testing.T) {
	is := is.New(t)
	syncer := &Syncer{loadTime: firstLoadGuess}
	now := testStart
	change := func(took time.Duration) {
		syncer.width.waiting = 40
		syncer.learn(now, now.Add(took))
	}
	for range 8 {
		change(time.Second)
		now = now.Add(time.Second)
	}
	before := syncer.width.places()
	is.True(before >= 7)
	for range before {
		change(5 * time.Second) // all under way at the pause
	}
	now = now.Add(5 * time.Second)
	is.True(syncer.width.places() >= before*2/3)
	is.True(syncer.expectedTime() <= time.Duration(slowedBy*float64(time.Second)))
	for range 4 {
		change(time.Second)
		now = now.Add(time.Second)
	}
	is.True(syncer.width.places() >= before)
}
