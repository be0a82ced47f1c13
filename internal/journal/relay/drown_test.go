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

// link is one direction of a machine's network link. Concurrent senders share its bandwidth by
// taking turns, one chunk each.
type link struct {
	bytesPerSecond float64

	mu        sync.Mutex
	busyUntil time.Time
}

// chunkBytes is the number of bytes that are sent in one turn.
const chunkBytes = 16 << 10

// reserve adds bytes to the link's queue and returns the time until they have been sent.
func (l *link) reserve(bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(float64(bytes) / l.bytesPerSecond * float64(time.Second)))
	return time.Until(l.busyUntil)
}

// transmit returns when bytes have been sent or the test ends. Bytes that nobody waits for any
// more are sent as well.
func (l *link) transmit(ctx context.Context, bytes int) {
	for ; bytes > 0 && ctx.Err() == nil; bytes -= chunkBytes {
		periodic.Pause(ctx, l.reserve(min(bytes, chunkBytes)))
	}
}

// linkConn is a connection whose writes go over a link, one after the other. They return at once,
// because net/rpc holds a mutex during a write, and synctest's time does not advance while a
// goroutine waits for a mutex.
type linkConn struct {
	net.Conn
	writes chan []byte
}

// newLinkConn returns conn with its writes sent over the link out until ctx ends.
func newLinkConn(ctx context.Context, conn net.Conn, out *link) linkConn {
	l := linkConn{conn, make(chan []byte, 1<<16)}
	go func() {
		for {
			select {
			case content := <-l.writes:
				out.transmit(ctx, len(content))
				_, _ = conn.Write(content) // The reader notices the end of the connection.
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

// linkedJournal is a daemon's own path to the journal, with reads limited by its downlink.
type linkedJournal struct {
	*faultyJournal
	// ctx ends with the test.
	ctx      context.Context
	downlink *link
}

func (l linkedJournal) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	read, err := l.faultyJournal.Read(ctx, request)
	bytes := 0
	for _, record := range read.Records {
		bytes += len(record)
	}
	sent := make(chan struct{})
	go func() {
		l.downlink.transmit(l.ctx, bytes)
		close(sent)
	}()
	select {
	case <-sent:
		return read, err
	case <-ctx.Done():
		return journal.Records{}, journal.ErrUnknown
	}
}

// newLinkedDaemons returns the daemons, behind links, of two zones with zoneSize daemons each. The
// store refuses the calls of the first refusedCount daemons of the first zone.
func newLinkedDaemons(ctx context.Context, t *testing.T, store *journaltest.Journal, zoneSize, refusedCount int, bytesPerSecond float64) *daemons {
	d, network := &daemons{store: store}, pipeNetwork{}
	for i := range 2 * zoneSize {
		name := fmt.Sprintf("%c%02d", 'a'+i/zoneSize, i%zoneSize)
		ownPath := &faultyJournal{Journal: d.store}
		if i < refusedCount {
			ownPath.fault.Store(faultRefused)
		}
		in, out := &link{bytesPerSecond: bytesPerSecond}, &link{bytesPerSecond: bytesPerSecond}
		relayed := New(journal.DetectLostCalls(linkedJournal{ownPath, ctx, in}, zap.NewNop()), Options{Name: name, Zone: name[:1], Address: name}, zap.NewNop())
		network.add(ctx, t, relayed, func(conn net.Conn) net.Conn { return newLinkConn(ctx, conn, out) })
		d.ownPaths, d.relays = append(d.ownPaths, ownPath), append(d.relays, relayed)
	}
	return d
}

// fillPartitions appends batches of another owner to partitions, the given number of bytes to
// each.
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

// configurationPartition receives a new configuration each second.
var configurationPartition = journal.Partition{Topic: journal.KeyedTopic("configurations")}

// discardHandler is a journal.KeyedHandler that ignores all records.
type discardHandler struct{}

func (discardHandler) Reset([]journal.KeyedRecord) {}
func (discardHandler) Apply(journal.KeyedRecord)   {}

// writeConfigurations writes a configuration each second until ctx ends.
func writeConfigurations(ctx context.Context, store *journaltest.Journal) {
	periodic.Every(ctx, time.Second, func(ctx context.Context) {
		record := journal.EncodeKeyed("c", make([]byte, 4096))
		_, _ = store.Append(ctx, journal.Append{Partition: configurationPartition, Records: [][]byte{record}}) // The store of this test never fails.
	})
}

// startFollowers makes all daemons know each other and follow the configurations. Each of the
// first zoneSize daemons also follows a partition of its own, whose fold is returned.
func (d *daemons) startFollowers(ctx context.Context, zoneSize int) (folds []*ledger.Partition) {
	for i, relayed := range d.relays {
		for _, other := range d.relays {
			if other != relayed {
				relayed.peers.byName[other.options.Name] = &peer{Address: other.options.Address, Zone: other.options.Zone}
			}
		}
		go relayed.Run(ctx)
		go journal.NewKeyedFollower(relayed, configurationPartition, discardHandler{}, 3*time.Second, zap.NewNop()).Run(ctx)
		if i < zoneSize {
			fold := ledger.New(ctx, relayed, zap.NewNop()).Partition(journal.Partition{Topic: "p", Number: i})
			fold.Follow()
			folds = append(folds, fold)
		}
	}
	return folds
}

// If the store refuses most machines of a zone, the remaining ones must not be overloaded by
// relayed reads: their links would fill with late pages, and no partition would be read to its
// end.
func TestAPeerDoesNotDrownInReadsOfItsZone(t *testing.T) {
	const (
		zone, partitionBytes = 28, 2 << 20
		bytesPerSecond       = 60e6 / 8
		// recoveryTimeout bounds the time until all partitions have been read.
		recoveryTimeout = 15 * time.Second
	)
	for _, left := range []int{1, 2, 4, 14} {
		t.Run(fmt.Sprint(left, " of ", zone, " left"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := journaltest.New()
				store.RecordBytes = 256 << 10
				fillPartitions(ctx, t, store, zone, partitionBytes)
				d := newLinkedDaemons(ctx, t, store, zone, zone-left, bytesPerSecond)
				folds := d.startFollowers(ctx, zone)
				go writeConfigurations(ctx, store)
				began, read := time.Now(), 0
				for read < zone && time.Since(began) < recoveryTimeout {
					time.Sleep(100 * time.Millisecond)
					read = 0
					for _, fold := range folds {
						if fold.IsFresh() {
							read++
						}
					}
				}
				took := time.Since(began)
				done, failed := uint64(0), uint64(0)
				for _, relayed := range d.relays {
					done, failed = done+relayed.RelayedCalls.Load(), failed+relayed.FailedRelayedCalls.Load()
				}
				t.Logf("%d of %d partitions read after %v, %d MB read of %d, %d of %d relayed calls failed", read, zone, took, store.Usage().ReadBytes>>20, zone*partitionBytes>>20, failed, done+failed)
				is.Equal(read, zone)
			})
		})
	}
}
