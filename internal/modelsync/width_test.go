package modelsync

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// rounds plays changes, as many at a time as the width allows, against a source
// that bears bears of them at a time, and returns the width at the end.
func rounds(w *width, count, waiting, bears int) int {
	for i := 0; i < count; i++ {
		places := min(w.places(), waiting)
		took := time.Second
		if places > bears {
			took = took * time.Duration(places) / time.Duration(bears)
		}
		for j := 0; j < places; j++ {
			w.waiting = waiting
			w.done(took)
		}
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
