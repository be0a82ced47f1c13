package logservice

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"woodworks/internal/journal"
	"woodworks/internal/journal/journaltest"
)

// startService starts a service with an in-memory journal, and returns a client and that journal.
func startService(t *testing.T) (*Client, *journaltest.Journal) {
	t.Helper()
	log := journaltest.New()
	server := httptest.NewServer(Handler{Journal: log})
	t.Cleanup(server.Close)
	addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	return New(addr, "", journal.Limits{Partitions: 2, RecordBytes: 1 << 16, AppendBytes: 1 << 20}), log
}

// shortContext returns a context that ends after 300 ms.
func shortContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func TestAppendedRecordsAreReadBack(t *testing.T) {
	is := is.New(t)
	client, _ := startService(t)
	ctx := context.Background()
	p := journal.Partition{Topic: "t", Number: 1}
	appended, err := client.Append(ctx, journal.Append{Partition: p, Records: [][]byte{[]byte("a"), {}, []byte("c")}})
	is.NoErr(err)
	is.Equal(appended, journal.Appended{Offset: 0, End: 3})
	read, err := client.Read(ctx, journal.Read{Partition: p, From: 1})
	is.NoErr(err)
	is.Equal(read.End, int64(3))
	is.Equal(len(read.Records), 2)
	is.Equal(string(read.Records[1]), "c")
}

func TestConditionalAppendFailsAtAnotherEnd(t *testing.T) {
	is := is.New(t)
	client, log := startService(t)
	p := journal.Partition{Topic: "t"}
	end := int64(1)
	_, err := client.Append(context.Background(), journal.Append{Partition: p, Records: [][]byte{[]byte("a")}, ExpectedEnd: &end})
	is.True(errors.Is(err, journal.ErrPosition))
	is.Equal(len(log.Records(p)), 0)
}

func TestTrimmedErrorHasTheOldestOffset(t *testing.T) {
	is := is.New(t)
	client, log := startService(t)
	p := journal.Partition{Topic: "t"}
	_, err := client.Append(context.Background(), journal.Append{Partition: p, Records: [][]byte{[]byte("a"), []byte("b")}})
	is.NoErr(err)
	log.Trim(p, 1)
	_, err = client.Read(context.Background(), journal.Read{Partition: p})
	var trimmed *journal.TrimmedError
	is.True(errors.As(err, &trimmed))
	is.Equal(trimmed.First, int64(1))
}

func TestNewestReturnsTheLastValueOfAKey(t *testing.T) {
	is := is.New(t)
	client, _ := startService(t)
	p := journal.Partition{Topic: journal.KeyedTopic("k")}
	for _, value := range []string{"1", "2"} {
		record := journal.EncodeKeyed("a", []byte(value))
		_, err := client.Append(context.Background(), journal.Append{Partition: p, Records: [][]byte{record}})
		is.NoErr(err)
	}
	page, err := client.Newest(context.Background(), p, "")
	is.NoErr(err)
	is.Equal(len(page.Records), 1)
	is.Equal(string(page.Records[0].Value), "2")
	is.Equal(page.Records[0].Offset, int64(1))
}

func TestPartitionsAreSharedBetweenMembers(t *testing.T) {
	is := is.New(t)
	client, _ := startService(t)
	ctx := context.Background()
	for _, member := range []string{"a", "b"} {
		_, err := client.Join(ctx, journal.Join{Group: "g", Member: member, Topics: []string{"t"}, Lifetime: time.Minute})
		is.NoErr(err)
	}
	owners, err := client.Owners(ctx, "g")
	is.NoErr(err)
	is.Equal(len(owners), 2)
	is.True(owners[0].Member != owners[1].Member)
	is.NoErr(client.Leave(ctx, "g", "a"))
}

// Guards against ErrNotDone for a call that may have taken effect, and against ErrUnknown for a
// refused one.
func TestErrorsTellNotDoneFromUnknown(t *testing.T) {
	cases := []struct {
		fault journaltest.Fault
		want  error
	}{
		{journaltest.Refuse, journal.ErrNotDone},
		{journaltest.LoseAnswer, journal.ErrUnknown},
		{journaltest.Delay, journal.ErrUnknown},
		{journaltest.Hang, journal.ErrUnknown},
	}
	for _, tc := range cases {
		is := is.New(t)
		client, log := startService(t)
		log.FaultFunc = func(journaltest.Call) journaltest.Fault { return tc.fault }
		_, err := client.Append(shortContext(t), journal.Append{Partition: journal.Partition{Topic: "t"}, Records: [][]byte{[]byte("a")}})
		is.True(errors.Is(err, tc.want))
	}
}

func TestUnreachableServiceIsNotDone(t *testing.T) {
	is := is.New(t)
	client := New(netip.MustParseAddrPort("127.0.0.1:1"), "", journal.Limits{})
	_, err := client.Append(shortContext(t), journal.Append{Partition: journal.Partition{Topic: "t"}})
	is.True(errors.Is(err, journal.ErrNotDone))
}

func TestMalformedCallsAreRefused(t *testing.T) {
	is := is.New(t)
	log := journaltest.New()
	recorded := httptest.NewRecorder()
	Handler{Journal: log}.ServeHTTP(recorded, httptest.NewRequest("POST", pathPrefix+callAppend, strings.NewReader("no cbor")))
	is.Equal(recorded.Code, 400)
	recorded = httptest.NewRecorder()
	Handler{Journal: log}.ServeHTTP(recorded, httptest.NewRequest("GET", pathPrefix+callAppend, nil))
	is.Equal(recorded.Code, 404)
}
