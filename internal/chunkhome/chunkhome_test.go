package chunkhome_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"woodworks/examples"
	"woodworks/internal/announce"
	"woodworks/internal/chunkhome"
	"woodworks/internal/dispatch"
	"woodworks/internal/fleet"
	"woodworks/internal/membership"
	"woodworks/internal/peer"
	"woodworks/internal/policy"
	"woodworks/internal/rollout"
	"woodworks/internal/testseed"
)

func init() { testseed.Fix() }

type peers struct {
	members []membership.Member
	changed chan struct{}
}

func (peers *peers) Self() membership.Member      { return peers.members[0] }
func (peers *peers) Serving() []membership.Member { return peers.members }
func (peers *peers) Changed() <-chan struct{}     { return peers.changed }

type catalog struct{ set *policy.Set }

func (catalog catalog) Policy() *policy.Set                    { return catalog.set }
func (catalog catalog) ConfirmationAge() (time.Duration, bool) { return 0, true }

func newHome(t *testing.T, maxChunks int) *chunkhome.Home {
	t.Helper()
	set, err := policy.Compile(map[string]string{"operator": examples.OperatorPolicy})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	known := &peers{members: []membership.Member{{ID: "a#1", Zone: "z"}}, changed: make(chan struct{})}
	board := announce.NewBoard(100)
	table := fleet.NewTable(board, func() {})
	held := catalog{set: set}
	dispatcher := dispatch.New(table, known, held, 100)
	limits := chunkhome.Limits{MaxChunks: maxChunks, Retention: time.Hour, ConfirmBound: time.Second}
	return chunkhome.New(ctx, limits, known, held, board, dispatcher, table, peer.NewPool("", nil), zap.NewNop())
}

func spec(name string, digest uint64, index int) rollout.ChunkSpec {
	header := rollout.Header{Trainer: "assessor", Name: name, Digest: digest, Samples: 4, ChunkSamples: 2}
	return rollout.ChunkSpec{ID: header.ChunkID(index), Header: header, MaxTokens: 10, Samples: []rollout.SampleSpec{{Index: 2 * index}, {Index: 2*index + 1}}}
}

func TestChunksAreBoundedAndNamesAreKept(t *testing.T) {
	is := is.New(t)
	home := newHome(t, 2)
	is.NoErr(home.Place(spec("x", 1, 0)))
	is.NoErr(home.Place(spec("x", 1, 0)))                        // again is harmless
	is.Equal(home.Place(spec("x", 2, 0)), chunkhome.ErrConflict) // other content
	is.NoErr(home.Place(spec("x", 1, 1)))
	is.Equal(home.Place(spec("y", 1, 0)), chunkhome.ErrFull)
	header, known := home.Find("assessor", "x")
	is.True(known)
	is.Equal(header.Digest, uint64(1))
}

func TestUnknownChunkIsSaidToBeUnknown(t *testing.T) {
	is := is.New(t)
	home := newHome(t, 2)
	_, _, known := home.Await(context.Background(), rollout.ChunkID{Name: "x"}, nil, 1)
	is.True(!known)
	_, known = home.Collect(context.Background(), rollout.ChunkID{Name: "x"}, nil, 1, 10)
	is.True(!known)
}

// The home and the holder of the copy are two daemons, in two zones where
// there are two, and a daemon's coming or going moves only its own chunks.
func TestHoldersSpreadAndStay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var serving []membership.Member
		zones := rapid.IntRange(1, 3).Draw(t, "zones")
		for i := range rapid.IntRange(2, 9).Draw(t, "daemons") {
			serving = append(serving, membership.Member{ID: membership.NodeID(fmt.Sprint("d", i)), Zone: fmt.Sprint("z", i%zones)})
		}
		id := rollout.ChunkID{Trainer: "t", Name: "n", Index: rapid.IntRange(0, 1000).Draw(t, "chunk")}
		holders := chunkhome.Holders(id, serving)
		if holders[0].ID == holders[1].ID || (min(zones, len(serving)) > 1 && holders[0].Zone == holders[1].Zone) {
			t.Fatalf("home %+v, copy %+v", holders[0], holders[1])
		}
		gone := rapid.IntRange(0, len(serving)-1).Draw(t, "gone")
		var left []membership.Member
		for i, member := range serving {
			if i != gone {
				left = append(left, member)
			}
		}
		if after := chunkhome.Holders(id, left); serving[gone].ID != holders[0].ID && after[0].ID != holders[0].ID {
			t.Fatalf("home moved from %s to %s when %s went", holders[0].ID, after[0].ID, serving[gone].ID)
		}
	})
}
