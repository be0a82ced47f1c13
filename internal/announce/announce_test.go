package announce_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"woodworks/internal/announce"
	"woodworks/internal/testseed"
)

func init() { testseed.Fix() }

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Boards that got the same announcements, in any order and however often,
// hold the same, and no version ever falls.
func TestBoardsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var told []announce.Announcement
		for range rapid.IntRange(1, 20).Draw(t, "count") {
			told = append(told, announce.Announcement{
				Key:     announce.Key{Kind: announce.TrainerVersion, Subject: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "subject")},
				Version: uint64(rapid.IntRange(1, 5).Draw(t, "version")),
				Detail:  rapid.SampledFrom([]string{"x", "y"}).Draw(t, "detail"),
			})
		}
		forward, backward := announce.NewBoard(100), announce.NewBoard(100)
		newest := map[string]uint64{}
		for i := range told {
			forward.Merge(start, told[i])
			backward.Merge(start, told[len(told)-1-i])
			for _, subject := range []string{"a", "b"} {
				version, _ := forward.TrainerVersionOf(subject)
				if version < newest[subject] {
					t.Fatalf("%s fell to %d", subject, version)
				}
				newest[subject] = version
			}
		}
		forward.Merge(start, told...)
		if forward.Digest() != backward.Digest() {
			t.Fatalf("%v differs from %v", forward.All(), backward.All())
		}
	})
}

func TestBoardIsBounded(t *testing.T) {
	is := is.New(t)
	board := announce.NewBoard(10)
	board.Merge(start, announce.Announcement{Key: announce.Key{Kind: announce.TrainerVersion, Subject: "t"}, Version: 1})
	for i := range 100 {
		board.Merge(start.Add(time.Duration(i)*time.Second), announce.Announcement{
			Key: announce.Key{Kind: announce.InstanceLeaving, Subject: announce.InstanceSubject("m", fmt.Sprint(i))}, Version: 1,
		})
	}
	is.Equal(len(board.All()), 10)
	is.True(board.IsInstanceLeaving("m", "99"))
	is.True(!board.IsInstanceLeaving("m", "0"))
	version, _ := board.TrainerVersionOf("t")
	is.Equal(version, uint64(1)) // versions are never dropped
}

func TestDrainCanBeTakenBack(t *testing.T) {
	is := is.New(t)
	board := announce.NewBoard(10)
	key := announce.Key{Kind: announce.Drain, Subject: "m"}
	board.Merge(start, announce.Announcement{Key: key, Version: 1})
	is.True(board.MachineDraining("m"))
	board.Merge(start, announce.Announcement{Key: key, Version: 2})
	is.True(!board.MachineDraining("m"))
	board.Merge(start, announce.Announcement{Key: key, Version: 1}) // an old order that comes late
	is.True(!board.MachineDraining("m"))
}
