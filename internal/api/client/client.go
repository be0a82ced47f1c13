// Package client is a client of a daemon's HTTP API, for the command line and the demo. It
// owns its connections and relies on package gateway for the types of response bodies.
//
// # Usage
//
//	submitted, err := client.New("http://127.0.0.1:7070", key).SubmitBatch(ctx, request)
//	if problem, ok := client.AsProblem(err); ok { ... } // the daemon answered with an error
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"woodworks/internal/api/gateway"
	"woodworks/internal/api/rollout"
	"woodworks/internal/requests/http1"
)

// serviceName is the name of all clients of this package in httpc.
const serviceName = "woodworks"

// Disables httpc's circuit breaker. It has one state for all clients of a name and, after
// failures, refuses calls at random: a daemon that is down would make calls to the others fail.
func init() { breaker.NoBreakerFor(serviceName) }

// ErrNoResponse means that no complete response was received. The request may have run.
var ErrNoResponse = errors.New("client: no complete response")

// ProblemError is a response with a status other than 2xx.
type ProblemError struct {
	Status  int
	Problem gateway.Problem
}

// Error returns the code and the message of the problem.
func (e *ProblemError) Error() string {
	return e.Problem.Code + ": " + e.Problem.Message
}

// Client sends requests to one listener of one daemon with the key of one caller. It is safe
// for concurrent use.
type Client struct {
	base    string
	key     string
	service httpc.Service
}

// New returns a client for a base URL, without a slash at the end, and a bearer key.
func New(base, key string) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 30 * time.Second}
	httpClient := &http.Client{Transport: transport}
	return &Client{base: base, key: key, service: httpc.NewServiceWithClient(serviceName, httpClient)}
}

// Response is an HTTP response with its complete body.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Do sends a request once and returns the response, whatever its status. The error wraps
// ErrNoResponse if no complete response was received.
func (c *Client) Do(ctx context.Context, method, path string, header http.Header, body []byte) (Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return Response{}, errors.Wrap(err, "client")
	}
	// Without GetBody, net/http can't rewind the body and so doesn't send the request again.
	request.GetBody = nil
	maps.Copy(request.Header, header)
	request.Header.Set("Authorization", "Bearer "+c.key)
	response, err := c.service.DoRequest(request)
	if err != nil {
		return Response{}, errors.Wrap(ErrNoResponse, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	if err := checkHead(response); err != nil {
		return Response{}, errors.Wrap(ErrNoResponse, err.Error())
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, errors.Wrap(ErrNoResponse, err.Error())
	}
	return Response{Status: response.StatusCode, Header: response.Header, Body: content}, nil
}

// checkHead returns an error if a response cannot come from a daemon whole. A daemon announces the length of a
// body or sends it in chunks. The end of another body cannot be told from a reset of the connection, as
// net/http writes a request while it reads the response.
func checkHead(response *http.Response) error {
	if err := http1.Check(response.StatusCode, response.Header); err != nil {
		return err
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && !response.Uncompressed {
		return errors.New("client: body of unknown length")
	}
	return nil
}

// DoJSON sends body as JSON (nil for no body) and decodes a 2xx response into answer, unless that
// is nil. A response with another status is returned as a *ProblemError.
func (c *Client) DoJSON(ctx context.Context, method, path string, body, answer any) error {
	var encoded []byte
	header := http.Header{}
	if body != nil {
		var err error
		if encoded, err = json.Marshal(body); err != nil {
			return errors.Wrap(err, "client: encode")
		}
		header.Set("Content-Type", "application/json")
	}
	received, err := c.Do(ctx, method, path, header, encoded)
	if err != nil {
		return err
	}
	if received.Status/100 != 2 {
		return newProblemError(received)
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(received.Body, answer), "client: decode")
}

// newProblemError returns the problem in the body of a response. If the body isn't a problem, the
// code is http_ and the status, and the message is the body.
func newProblemError(received Response) error {
	var body struct {
		Error gateway.Problem `json:"error"`
	}
	if json.Unmarshal(received.Body, &body) != nil || body.Error.Code == "" {
		body.Error.Code = "http_" + strconv.Itoa(received.Status)
		body.Error.Message = string(bytes.TrimSpace(received.Body))
	}
	return &ProblemError{Status: received.Status, Problem: body.Error}
}

// AsProblem returns the *ProblemError that err wraps, and whether there is one.
func AsProblem(err error) (*ProblemError, bool) {
	var problem *ProblemError
	ok := errors.As(err, &problem)
	return problem, ok
}

// SubmitBatch submits a batch of prompts. Errors are those of DoJSON.
func (c *Client) SubmitBatch(ctx context.Context, request rollout.Request) (gateway.RolloutInfo, error) {
	var answer gateway.RolloutInfo
	err := c.DoJSON(ctx, http.MethodPost, "/v1/rollouts", request, &answer)
	return answer, err
}

// PullSamples returns up to limit samples of a batch after a cursor, for a trainer that trains
// version. If there are none yet, the daemon waits for them, at most wait.
func (c *Client) PullSamples(
	ctx context.Context, trainer, name, cursor string, version uint64, limit int, wait time.Duration,
) (answer gateway.PullResponse, err error) {
	query := url.Values{
		"cursor": {cursor}, "training_version": {strconv.FormatUint(version, 10)},
		"max": {strconv.Itoa(limit)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	path := "/v1/rollouts/" + url.PathEscape(trainer) + "/" + url.PathEscape(name) + "/samples?" + query.Encode()
	err = c.DoJSON(ctx, http.MethodGet, path, nil, &answer)
	return answer, err
}

// AnnounceVersion reports a new version of a trainer's weights and the artifact that has it.
func (c *Client) AnnounceVersion(ctx context.Context, trainer string, version uint64, artifact string) error {
	body := gateway.AnnounceRequest{Version: int64(version), Artifact: artifact}
	return c.DoJSON(ctx, http.MethodPost, "/v1/trainers/"+url.PathEscape(trainer)+"/versions", body, nil)
}

// CallOperation calls an operation of a plain service. Unless requestKey is empty, it is sent as the
// key of the request. The outcome is the one that the daemon reports, or gateway.Unknown with an
// error.
func (c *Client) CallOperation(ctx context.Context, service, operation, requestKey string, body []byte) (Response, gateway.Outcome, error) {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	if requestKey != "" {
		header.Set(gateway.RequestKeyHeader, requestKey)
	}
	path := "/v1/services/" + url.PathEscape(service) + "/" + url.PathEscape(operation)
	answer, err := c.Do(ctx, http.MethodPost, path, header, body)
	if err != nil {
		return Response{}, gateway.Unknown, err
	}
	return answer, gateway.Outcome(answer.Header.Get(gateway.OutcomeHeader)), nil
}
