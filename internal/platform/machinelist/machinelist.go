// Package machinelist is the client of the platform's list of live and leaving
// machines, which lags behind the truth.
//
// Protocol: GET /v1/machines?since=R answers every entry whose revision is
// above R, and the list's revision. A machine that left stays listed as gone.
package machinelist

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/httpclient"
)

// ErrUnavailable is returned when the list did not answer.
var ErrUnavailable = errors.New("machine list: no answer")

// State says what the platform believes of a machine.
type State string

// The states of a machine.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// DaemonService is the service under which the platform lists the machines of
// woodworks' own daemons.
const DaemonService = "woodworks"

// Machine is one back end, or one daemon's machine, as listed.
type Machine struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Address is IP:port; a daemon's is its peer address.
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Region   string `json:"region"`
	State    State  `json:"state"`
	Revision uint64 `json:"revision"`
}

// Changes is the answer of the list.
type Changes struct {
	Revision uint64    `json:"revision"`
	Machines []Machine `json:"machines"`
}

const readTimeout = 2 * time.Second

// Client reads the machine list.
type Client struct{ remote *httpclient.Client }

// New returns a client for the list's base URL that connects from the IP
// of a local address (IP:port), "" for any.
func New(base, local string) *Client {
	return &Client{remote: httpclient.NewFrom(base, local)}
}

// Since returns the entries changed after a revision.
func (client *Client) Since(ctx context.Context, revision uint64) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	var changes Changes
	path := fmt.Sprintf("/v1/machines?since=%d", revision)
	if err := client.remote.JSON(ctx, http.MethodGet, path, nil, &changes); err != nil {
		return Changes{}, errors.Wrap(ErrUnavailable, err.Error())
	}
	return changes, nil
}
