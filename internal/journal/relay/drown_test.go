package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/ledger"
	"woodworks/internal/daemon/periodic"
	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// link is one direction of a machine's link: those who send over it have their turn part by part.
type link struct {
	bytesPerSecond float64

	mu        sync.Mutex
	busyUntil time.Time
}

// chunkBytes is how much is sent in one turn.
const chunkBytes = 16 << 10

func (l *link) reserve(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return time.Until(l.busyUntil)
}

// transmit returns when bytes have been sent, whoever still awaits them, or when the test ends.
func (l *link) transmit(ctx context.Context, bytes int) {
	for ; bytes > 0 && ctx.Err() == nil; bytes -= chunkBytes {
		periodic.Pause(ctx, l.reserve(min(bytes, chunkBytes)))
	}
}

// linkConn is a connection whose writes go over a line, one after the other. They return at once:
// net/rpc holds a lock meanwhile, on which virtual time doesn't pass.
type linkConn struct {
	net.Conn
	writes chan []byte
}

func newLinkConn(ctx context.Context, conn net.Conn, out *link) linkConn {
	l := linkConn{conn, make(chan []byte, 1<<16)}
	go func() {
		for {
			select {
			case content := <-l.writes:
				out.transmit(ctx, len(content))
				_, _ = conn.Write(content) // Who reads sees that the connection has ended.
			case <-ctx.Done():
				return
			}
		}
	}()
	return l
}

func (l linkConn) Write(content []byte) (int, error) {
	l.writes <- append([]byte(nil), content...)
	return len(content), nil
}

// linkedJournal is a daemon's own path to the journal, over the line that comes in.
type linkedJournal struct {
	*faultyJournal
	// ctx ends with the test.
	ctx      context.Context
	downlink *link
}

func (f linkedJournal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	read, err := f.faultyJournal.Read(ctx, request)
	bytes := 0
	for _, record := range read.Records {
		bytes += len(record)
	}
	sent := make(chan struct{})
	go func() {
		f.downlink.transmit(f.ctx, bytes)
		close(sent)
	}()
	select {
	case <-sent:
		return read, err
	case <-ctx.Done():
		return journal.Records{}, journal.ErrUnknown
	}
}

// newLinkedDaemons returns daemons of two zones behind links, of which the first in the first zone
// have lost their own path.
func newLinkedDaemons(ctx context.Context, t *testing.T, store *journaltest.Journal, zone, refusedOf int, bytesPerSecond float64) *daemons {
	d, reached := &daemons{store: store}, pipeNetwork{}
	for i := range 2 * zone {
		name := fmt.Sprintf("%c%02d", 'a'+i/zone, i%zone)
		way := &faultyJournal{Journal: d.store}
		if i < refusedOf {
			way.fault.Store(faultRefused)
		}
		in, out := &link{bytesPerSecond: bytesPerSecond}, &link{bytesPerSecond: bytesPerSecond}
		relayed := New(journal.Revive(linkedJournal{way, ctx, in}, zap.NewNop()), Options{Name: name, Zone: name[:1], Address: name}, zap.NewNop())
		reached.add(ctx, t, relayed, func(conn net.Conn) net.Conn { return newLinkConn(ctx, conn, out) })
		d.ownPaths, d.relays = append(d.ownPaths, way), append(d.relays, relayed)
	}
	return d
}

// fillPartitions puts batches of others into partitions, so many bytes each.
func fillPartitions(ctx context.Context, t *testing.T, store *journaltest.Journal, partitions, bytes int) {
	const size = 64 << 10
	var records [][]byte
	for i := range bytes / size {
		records = append(records, batch.Accepted(&batch.Submission{ID: fmt.Sprint("o", i), Items: []batch.Item{{ID: "i", Body: make([]byte, size)}}}, "gone/1"))
	}
	for number := range partitions {
		if _, err := store.Append(ctx, journal.Append{Partition: journal.Partition{Topic: "p", Number: number}, Records: records}); err != nil {
			t.Fatal(err)
		}
	}
}

// configurationPartition is where one is written each second.
var configurationPartition = journal.Partition{Topic: journal.KeyedTopic("configurations")}

// discardHandler takes records and does nothing with them.
type discardHandler struct{}

func (discardHandler) Reset([]journal.KeyedRecord) {}
func (discardHandler) Apply(journal.KeyedRecord)   {}

// writeConfigurations writes a configuration each second.
func writeConfigurations(ctx context.Context, store *journaltest.Journal) {
	periodic.Every(ctx, time.Second, func(ctx context.Context) {
		record := journal.EncodeKeyed("c", make([]byte, 4096))
		_, _ = store.Append(ctx, journal.Append{Partition: configurationPartition, Records: [][]byte{record}}) // It never fails here.
	})
}

// startFollowers has each daemon know all others and startFollowers the configurations, and those of the first
// zone startFollowers a partition each.
func (d *daemons) startFollowers(ctx context.Context, zone int) (folds []*ledger.Partition) {
	for i, relayed := range d.relays {
		for _, other := range d.relays {
			if other != relayed {
				relayed.peers.byName[other.options.Name] = &peer{Address: other.options.Address, Zone: other.options.Zone}
			}
		}
		go relayed.Run(ctx)
		go journal.NewKeyedFollower(relayed, configurationPartition, discardHandler{}, 3*time.Second, zap.NewNop()).Run(ctx)
		if i < zone {
			fold := ledger.New(ctx, relayed, zap.NewNop()).Partition(journal.Partition{Topic: "p", Number: i})
			fold.Follow()
			folds = append(folds, fold)
		}
	}
	return folds
}

// The store refused all machines of a zone but one. All of them went on through that one, as the
// nearest, whose link was too narrow for a page to each within the 0.7 s that a peer has for any
// answer; it was left alone for a second and then was the first to be asked again, while
// those of the other zone had nothing to do. Its link was full of pages that nobody awaited any
// more, 96 to 120 MB for 56, and in 15 s none but its own partition was read to its end.
func TestAPeerDoesNotDrownInReadsOfItsZone(t *testing.T) {
	const (
		zone, each     = 28, 2 << 20
		bytesPerSecond = 60e6 / 8
		// servesAgain is within which time machines serve again.
		servesAgain = 15 * time.Second
	)
	for _, left := range []int{1, 2, 4, 14} {
		t.Run(fmt.Sprint(left, " of ", zone, " left"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := journaltest.New()
				store.RecordBytes = 256 << 10
				fillPartitions(ctx, t, store, zone, each)
				d := newLinkedDaemons(ctx, t, store, zone, zone-left, bytesPerSecond)
				folds := d.startFollowers(ctx, zone)
				go writeConfigurations(ctx, store)
				began, learned := time.Now(), 0
				for learned < zone && time.Since(began) < servesAgain {
					time.Sleep(100 * time.Millisecond)
					learned = 0
					for _, fold := range folds {
						if fold.Fresh() {
							learned++
						}
					}
				}
				took := time.Since(began)
				done, failed := uint64(0), uint64(0)
				for _, relayed := range d.relays {
					done, failed = done+relayed.RelayedCalls.Load(), failed+relayed.FailedRelayedCalls.Load()
				}
				t.Logf("%d of %d partitions learned after %v, %d MB read of %d, %d of %d relayed calls failed", learned, zone, took, store.Usage().ReadBytes>>20, zone*each>>20, failed, done+failed)
				is.Equal(learned, zone)
			})
		})
	}
}
