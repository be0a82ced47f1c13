package logservice

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"woodworks/internal/journal"
	"woodworks/internal/requests/upstream"
)

const (
	// connectTimeout bounds the time to open a connection, unackedTimeout the time for which sent
	// data may stay unacknowledged by the peer.
	connectTimeout = time.Second
	unackedTimeout = 1500 * time.Millisecond
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 64 << 20
)

// Client is a client of the log service that implements journal.Journal. It is safe for
// concurrent use.
type Client struct {
	journal.Limits
	pool *upstream.Pool
	addr netip.AddrPort
}

var _ journal.Journal = (*Client)(nil)

// New returns a client of the service at addr. local is the local address (IP:port) whose IP
// connections are made from; with "" the system chooses one. limits must be those of the service.
func New(addr netip.AddrPort, local string, limits journal.Limits) *Client {
	options := upstream.Options{LocalAddress: local, ConnectTimeout: connectTimeout, UnackedTimeout: unackedTimeout}
	return &Client{Limits: limits, pool: upstream.NewPool(options), addr: addr}
}

// call performs the call name with a CBOR-encoded request, and decodes its answer. Errors that
// prove that the request was not sent wrap ErrNotDone, refusals are returned as the journal's
// error, and all others wrap ErrUnknown.
func call[Answer any](ctx context.Context, c *Client, name string, request any) (Answer, error) {
	var answer Answer
	body, err := cbor.Marshal(request)
	if err != nil {
		return answer, errors.Wrap(journal.ErrNotDone, err.Error())
	}
	resp, err := c.pool.Exchange(ctx, c.addr, &upstream.Request{
		Method: http.MethodPost, Target: pathPrefix + name, Host: c.addr.String(),
		Header: http.Header{"Content-Type": {contentType}}, Body: body,
	})
	if errors.Is(err, upstream.ErrNotSent) {
		return answer, errors.Wrap(journal.ErrNotDone, err.Error())
	}
	if err != nil {
		return answer, errors.Wrap(journal.ErrUnknown, err.Error())
	}
	defer resp.Close()
	content, err := resp.ReadWhole(maxAnswerBytes)
	if err != nil {
		return answer, errors.Wrap(journal.ErrUnknown, err.Error())
	}
	if resp.Status != http.StatusOK {
		var refused refusal
		if err := cbor.Unmarshal(content, &refused); err != nil {
			return answer, errors.Wrapf(journal.ErrUnknown, "status %d", resp.Status)
		}
		return answer, refused.error()
	}
	if err := cbor.Unmarshal(content, &answer); err != nil {
		return answer, errors.Wrap(journal.ErrUnknown, err.Error())
	}
	return answer, nil
}

// emptyAnswer is the answer of calls that return no value.
type emptyAnswer struct{}

// Append implements journal.Journal.
func (c *Client) Append(ctx context.Context, request journal.Append) (journal.Appended, error) {
	return call[journal.Appended](ctx, c, callAppend, request)
}

// Read implements journal.Journal.
func (c *Client) Read(ctx context.Context, request journal.Read) (journal.Records, error) {
	return call[journal.Records](ctx, c, callRead, request)
}

// Newest implements journal.Journal.
func (c *Client) Newest(ctx context.Context, p journal.Partition, afterKey string) (journal.KeyedPage, error) {
	return call[journal.KeyedPage](ctx, c, callNewest, newestRequest{Partition: p, AfterKey: afterKey})
}

// Join implements journal.Journal.
func (c *Client) Join(ctx context.Context, request journal.Join) (journal.Assignment, error) {
	return call[journal.Assignment](ctx, c, callJoin, request)
}

// Leave implements journal.Journal.
func (c *Client) Leave(ctx context.Context, group, member string) error {
	_, err := call[emptyAnswer](ctx, c, callLeave, memberRequest{Group: group, Member: member})
	return err
}

// Owners implements journal.Journal.
func (c *Client) Owners(ctx context.Context, group string) ([]journal.Ownership, error) {
	return call[[]journal.Ownership](ctx, c, callOwners, memberRequest{Group: group})
}
