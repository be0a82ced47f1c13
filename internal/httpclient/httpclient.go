// Package httpclient makes outbound HTTP clients through go-zero's httpc.
//
// Each remote gets a transport of its own. httpc's circuit breaker is switched
// off: it keeps state by name and refuses by chance, which would be a refusal
// outside the policy. Redirects are never followed.
package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"

	"woodworks/internal/sourceaddr"
)

// serviceName is the name under which httpc knows all our clients.
const serviceName = "woodworks"

const (
	dialTimeout       = 2 * time.Second
	idlePerRemote     = 64
	idleTimeout       = 30 * time.Second
	keepAliveInterval = 15 * time.Second
	// maxErrorBody bounds how much of an error answer is kept, in bytes.
	maxErrorBody = 4 << 10
)

func init() { breaker.NoBreakerFor(serviceName) }

// StatusError is an answer with an unexpected status.
type StatusError struct {
	Status int
	Body   string
	// RetryAfter is what the remote's Retry-After header asked for, or 0.
	RetryAfter time.Duration
}

// Error implements error.
func (status *StatusError) Error() string {
	return "status " + http.StatusText(status.Status) + ": " + status.Body
}

// NotSentError wraps a failure before any byte of the request could have
// reached the remote.
type NotSentError struct{ cause error }

// Error implements error.
func (notSent *NotSentError) Error() string { return "not sent: " + notSent.cause.Error() }

// Unwrap returns the cause.
func (notSent *NotSentError) Unwrap() error { return notSent.cause }

// NotSent wraps an error as a NotSentError.
func NotSent(cause error) error { return &NotSentError{cause: cause} }

// IsNotSent reports whether the failed request provably never left.
func IsNotSent(err error) bool {
	var notSent *NotSentError
	return errors.As(err, &notSent)
}

// Client speaks to one remote.
type Client struct {
	base      string
	service   httpc.Service
	transport *http.Transport
}

// New returns a client for a base URL such as "http://127.0.0.1:80".
func New(base string) *Client { return NewFrom(base, "") }

// NewFrom returns a client that connects from the IP of a local address
// (IP:port), "" for any.
func NewFrom(base, local string) *Client {
	dialer := sourceaddr.Dialer(local, dialTimeout)
	dialer.KeepAlive = keepAliveInterval
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idlePerRemote,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{base: base, service: serviceOver(transport), transport: transport}
}

func serviceOver(transport http.RoundTripper) httpc.Service {
	client := &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return httpc.NewServiceWithClient(serviceName, client)
}

// OverConnection returns an httpc service that sends exactly one request over
// an open connection and never replays it.
func OverConnection(connection net.Conn) httpc.Service {
	var used atomic.Bool
	transport := &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used.Swap(true) {
				return nil, errors.New("httpclient: a single-use connection was asked for twice")
			}
			return connection, nil
		},
	}
	return serviceOver(transport)
}

// Close drops idle connections.
func (client *Client) Close() { client.transport.CloseIdleConnections() }

// Do sends a request with a JSON body (nil for none) and returns the answer
// with its body open. A failure before a connection was had is a NotSentError.
// Any status but 200 becomes a *StatusError.
func (client *Client) Do(ctx context.Context, method, path string, body any) (*http.Response, error) {
	request, err := buildRequest(ctx, method, client.base+path, body)
	if err != nil {
		return nil, NotSent(err)
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	request = request.WithContext(httptrace.WithClientTrace(ctx, trace))
	response, err := client.service.DoRequest(request)
	if err != nil {
		err = errors.Wrapf(err, "%s %s", method, path)
		if !connected.Load() {
			return nil, NotSent(err)
		}
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(response)
	}
	return response, nil
}

func buildRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, url, nil)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Wrap(err, "httpclient: encode body")
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func statusError(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBody))
	retryAfter, _ := time.ParseDuration(response.Header.Get("Retry-After") + "s")
	return &StatusError{Status: response.StatusCode, Body: string(bytes.TrimSpace(text)), RetryAfter: retryAfter}
}

// JSON sends a request and decodes the whole JSON answer into answer.
func (client *Client) JSON(ctx context.Context, method, path string, body, answer any) error {
	response, err := client.Do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(answer); err != nil {
		return errors.Wrapf(err, "%s %s: decode answer", method, path)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBody))
	return nil
}
