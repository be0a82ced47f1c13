// Package logservice is the client of the platform's append-only log.
//
// Protocol: POST /v1/append takes an AppendRequest and answers an
// AppendAnswer; GET /v1/read?from=N&limit=M&wait_ms=W answers a ReadAnswer, at
// the latest after W milliseconds with no records. Offsets start at 1.
package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/catalog"
	"woodworks/internal/httpclient"
)

// ErrUnavailable is returned when the log did not answer. An append that ends
// so may or may not have taken effect.
var ErrUnavailable = errors.New("log service: no answer")

// AppendRequest is the body of an append.
type AppendRequest struct {
	ID      string          `json:"id"`
	Kind    catalog.Kind    `json:"kind"`
	Payload json.RawMessage `json:"payload"`
}

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	Offset uint64 `json:"offset"`
}

// ReadAnswer is the answer to a read.
type ReadAnswer struct {
	Records []catalog.Record `json:"records"`
	// Head is the log's highest offset.
	Head uint64 `json:"head"`
}

const (
	appendTimeout = 2 * time.Second
	// readSlack is added to a long poll's wait before the read is given up.
	readSlack = 2 * time.Second
	readLimit = 256
)

// Client reads from and appends to the log.
type Client struct{ remote *httpclient.Client }

// New returns a client for the log's base URL that connects from the IP
// of a local address (IP:port), "" for any.
func New(base, local string) *Client {
	return &Client{remote: httpclient.NewFrom(base, local)}
}

// Append appends one record. ErrUnavailable means that its outcome is unknown:
// read on and look for the id before trying again.
func (client *Client) Append(ctx context.Context, id string, kind catalog.Kind, payload any) (uint64, error) {
	encoded, err := json.Marshal(payload)
	if err != nil {
		return 0, errors.Wrap(err, "log service: encode payload")
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var answer AppendAnswer
	request := AppendRequest{ID: id, Kind: kind, Payload: encoded}
	if err := client.remote.JSON(ctx, http.MethodPost, "/v1/append", request, &answer); err != nil {
		return 0, errors.Wrap(ErrUnavailable, err.Error())
	}
	return answer.Offset, nil
}

// Read returns the records from an offset on, waiting up to wait for one.
func (client *Client) Read(ctx context.Context, from uint64, wait time.Duration) (ReadAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	path := fmt.Sprintf("/v1/read?from=%d&limit=%d&wait_ms=%d", from, readLimit, wait.Milliseconds())
	var answer ReadAnswer
	if err := client.remote.JSON(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return ReadAnswer{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return answer, nil
}
