package engine

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/httpclient"
)

// Errors of this layer.
var (
	// ErrFenced means that a higher fence has been granted to another daemon.
	ErrFenced = errors.New("engine: fence is stale")
	// ErrIncomplete means that a stream ended without its end mark.
	ErrIncomplete = errors.New("engine: stream ended without its end mark")
	// ErrRefused means that the engine did not take the request.
	ErrRefused = errors.New("engine: request refused")
	// ErrUnreachable means that the request provably never reached the engine.
	ErrUnreachable = errors.New("engine: not reached")
	// ErrBroken means that the engine failed after the request reached it.
	ErrBroken = errors.New("engine: failed")
)

const (
	controlTimeout = 2 * time.Second
	// maxFrameBytes bounds one line of a stream.
	maxFrameBytes = 1 << 20
)

// Client speaks to one engine.
type Client struct{ remote *httpclient.Client }

// NewClient returns a client for an engine at IP:port.
func NewClient(address string) *Client {
	return &Client{remote: httpclient.New("http://" + address)}
}

// Close drops idle connections.
func (client *Client) Close() { client.remote.Close() }

// State asks the engine for its state.
func (client *Client) State(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var state State
	err := client.remote.JSON(ctx, http.MethodGet, "/state", nil, &state)
	return state, translate(err)
}

// Claim raises the engine's fence.
func (client *Client) Claim(ctx context.Context, claim ClaimRequest) (State, error) {
	return client.order(ctx, "/claim", claim)
}

// Load orders a weight version and returns before it is loaded.
func (client *Client) Load(ctx context.Context, load LoadRequest) (State, error) {
	return client.order(ctx, "/load", load)
}

func (client *Client) order(ctx context.Context, path string, body any) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var state State
	err := client.remote.JSON(ctx, http.MethodPost, path, body, &state)
	return state, translate(err)
}

// Generate streams one sample. Each frame with tokens is passed to onFrame in
// order. It returns the end reason only if the engine sent its end mark and
// the count of tokens agrees with it.
func (client *Client) Generate(ctx context.Context, request GenerateRequest, onFrame func(Frame)) (EndReason, error) {
	response, err := client.remote.Do(ctx, http.MethodPost, "/generate", request)
	if err != nil {
		return "", translate(err)
	}
	defer func() { _ = response.Body.Close() }()
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maxFrameBytes)
	received := 0
	for scanner.Scan() {
		frame, err := DecodeFrame(scanner.Bytes())
		if err != nil {
			return "", err
		}
		received += len(frame.Tokens)
		if frame.End != "" {
			return endOf(frame, received)
		}
		onFrame(frame)
	}
	if scanner.Err() != nil {
		return "", errors.Wrap(ErrBroken, scanner.Err().Error())
	}
	return "", ErrIncomplete
}

// DecodeFrame decodes and checks one line of a stream.
func DecodeFrame(line []byte) (Frame, error) {
	var frame Frame
	if err := json.Unmarshal(line, &frame); err != nil {
		return Frame{}, errors.Wrap(ErrBroken, "frame: "+err.Error())
	}
	if frame.Error != "" {
		return Frame{}, errors.Wrap(ErrBroken, frame.Error)
	}
	if len(frame.Tokens) > 0 && frame.Version == 0 {
		return Frame{}, errors.Wrap(ErrBroken, "frame: tokens without a version")
	}
	if frame.End != "" && frame.End != EndStop && frame.End != EndLength {
		return Frame{}, errors.Wrapf(ErrBroken, "frame: unknown end %q", frame.End)
	}
	return frame, nil
}

func endOf(frame Frame, received int) (EndReason, error) {
	if len(frame.Tokens) > 0 || frame.Total != received {
		return "", errors.Wrapf(ErrIncomplete, "end mark says %d tokens, %d arrived", frame.Total, received)
	}
	return frame.End, nil
}

// translate turns the errors of the HTTP client into those of this layer.
func translate(err error) error {
	if err == nil {
		return nil
	}
	if httpclient.IsNotSent(err) {
		return errors.Wrap(ErrUnreachable, err.Error())
	}
	var status *httpclient.StatusError
	if errors.As(err, &status) {
		if status.Status == http.StatusConflict {
			return errors.Wrap(ErrFenced, status.Body)
		}
		if status.Status == http.StatusServiceUnavailable || status.Status == http.StatusTooManyRequests {
			return errors.Wrap(ErrRefused, status.Body)
		}
	}
	return errors.Wrap(ErrBroken, err.Error())
}
