// Package plain speaks to plain back ends: one POST per operation.
//
// A call opens a connection of its own, so that the HTTP library has nothing
// to replay on, and passes its first byte through a sendgate.
package plain

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/httpclient"
	"woodworks/internal/sendgate"
)

// Errors of this layer.
var (
	// ErrUnreachable means that no byte reached the back end or ever will.
	ErrUnreachable = errors.New("back end: not reached")
	// ErrUnknown means that the request may have run.
	ErrUnknown = errors.New("back end: outcome unknown")
)

const (
	dialTimeout = time.Second
	// MaxAnswerBytes bounds an answer's body.
	MaxAnswerBytes = 8 << 20
	// AttemptHeader carries the try's identity, for the back end's own records.
	// It is not one of the names on which net/http replays a request.
	AttemptHeader = "Woodworks-Attempt"
)

// Call is one request to a back end.
type Call struct {
	Address     string
	Operation   string
	ContentType string
	Body        []byte
	// AttemptID names this try; another try has another.
	AttemptID string
}

// Answer is a whole answer of a back end.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Dial opens a connection. An error is always ErrUnreachable.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(ErrUnreachable, err.Error())
	}
	return connection, nil
}

// Send sends the call over the connection, once, if the gate lets it. The
// connection is closed in any case. The error is ErrUnreachable only if the
// gate never opened.
func Send(ctx context.Context, connection net.Conn, gate *sendgate.Gate, call Call) (Answer, error) {
	defer func() { _ = connection.Close() }()
	answer, err := exchange(ctx, gate.Conn(connection), call)
	if err == nil {
		return answer, nil
	}
	if gate.Abandon() {
		return Answer{}, errors.Wrap(ErrUnreachable, err.Error())
	}
	return Answer{}, errors.Wrap(ErrUnknown, err.Error())
}

func exchange(ctx context.Context, connection net.Conn, call Call) (Answer, error) {
	// The reader is wrapped so that the library cannot rewind and resend it.
	body := io.NopCloser(io.MultiReader(bytes.NewReader(call.Body)))
	if len(call.Body) == 0 {
		body = http.NoBody
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+call.Address+"/"+call.Operation, body)
	if err != nil {
		return Answer{}, err
	}
	request.ContentLength = int64(len(call.Body))
	if call.ContentType != "" {
		request.Header.Set("Content-Type", call.ContentType)
	}
	request.Header.Set(AttemptHeader, call.AttemptID)
	response, err := httpclient.OverConnection(connection).DoRequest(request)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return readWhole(response)
}

// readWhole reads the body and refuses one whose end cannot be told.
func readWhole(response *http.Response) (Answer, error) {
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength < 0 && !chunked {
		return Answer{}, errors.New("answer has neither a length nor chunks, its end cannot be told")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxAnswerBytes+1))
	if err != nil {
		return Answer{}, errors.Wrap(err, "answer cut short")
	}
	if len(body) > MaxAnswerBytes {
		return Answer{}, errors.Errorf("answer is over %d bytes", MaxAnswerBytes)
	}
	return Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
