package gateway

import (
	"bytes"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"woodworks/internal/policy"
)

// refuseRetryAfter is told to callers refused by a bound of this daemon.
const refuseRetryAfter = time.Second

// inFlight counts each caller's requests in this daemon.
type inFlight struct {
	mutex  sync.Mutex
	counts map[string]int64
	total  int64
	idle   chan struct{}
}

func newInFlight() *inFlight { return &inFlight{counts: map[string]int64{}} }

// enter counts a request in, unless the caller's bound is reached.
func (counter *inFlight) enter(caller policy.Caller) bool {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	if caller.MaxInFlight > 0 && counter.counts[caller.Name] >= caller.MaxInFlight {
		return false
	}
	counter.counts[caller.Name]++
	counter.total++
	return true
}

func (counter *inFlight) leave(caller policy.Caller) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.counts[caller.Name]--
	if counter.counts[caller.Name] == 0 {
		delete(counter.counts, caller.Name)
	}
	counter.total--
	if counter.total == 0 && counter.idle != nil {
		close(counter.idle)
		counter.idle = nil
	}
}

// Total returns the requests now in flight.
func (counter *inFlight) Total() int64 {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	return counter.total
}

// handler is a request handler that knows its caller.
type handler func(writer http.ResponseWriter, request *http.Request, caller policy.Caller)

// admit wraps a handler with what every request passes: the key, the caller's
// audience and bound, and, for new work, a confirmed configuration.
func (gateway *Gateway) admit(audience policy.Audience, newWork bool, next handler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if gateway.stopping.Load() {
			// Clients then drop the connection before the listener closes it
			// under a request that is on its way.
			writer.Header().Set("Connection", "close")
		}
		caller, known := gateway.authenticate(request, audience)
		if !known || (caller.Audience == policy.Internal && audience == policy.Public) {
			writer.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(writer, http.StatusUnauthorized, Problem{Code: "unauthorized", Message: "a valid bearer key is required"})
			return
		}
		if newWork && !gateway.mayAdmit(writer) {
			return
		}
		if !gateway.flights.enter(caller) {
			writeProblem(writer, http.StatusTooManyRequests, Problem{
				Code:             "too_many_in_flight",
				Message:          fmt.Sprintf("caller %q has %d requests in flight, its bound", caller.Name, caller.MaxInFlight),
				RetryAfterMillis: refuseRetryAfter.Milliseconds(),
			})
			return
		}
		defer gateway.flights.leave(caller)
		request.Body = http.MaxBytesReader(writer, request.Body, gateway.limits.MaxBodyBytes)
		next(writer, request, caller)
	}
}

// authenticate finds the caller of a bearer key: in the policy, or, on the
// internal listener, among the operators of the settings.
func (gateway *Gateway) authenticate(request *http.Request, audience policy.Audience) (policy.Caller, bool) {
	key, isBearer := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	if !isBearer || key == "" {
		return policy.Caller{}, false
	}
	caller, known := gateway.catalog.Policy().CallerOf(key)
	if known || audience == policy.Public {
		return caller, known
	}
	digest := []byte(policy.KeyDigest(key))
	for _, operator := range gateway.limits.Operators {
		if subtle.ConstantTimeCompare(digest, []byte(operator.KeySHA256)) == 1 {
			return policy.Caller{Name: operator.Name, Audience: policy.Internal, Operator: true}, true
		}
	}
	return policy.Caller{}, false
}

// mayAdmit refuses new work while this daemon stops, or cannot confirm that
// its configuration is the newest.
func (gateway *Gateway) mayAdmit(writer http.ResponseWriter) bool {
	if gateway.stopping.Load() {
		unavailable(writer, "stopping", "this daemon is being stopped; use another", refuseRetryAfter)
		return false
	}
	age, confirmed := gateway.catalog.ConfirmationAge()
	if !confirmed || age > gateway.limits.ConfirmBound {
		unavailable(writer, "configuration_not_confirmed", "this daemon cannot confirm that its configuration is the newest", refuseRetryAfter)
		return false
	}
	return true
}

// decodeJSON reads a JSON body into target. It refuses unknown fields, wrong
// types, trailing data and oversize bodies, with an answer that names the
// field, and reports false then.
func decodeJSON(writer http.ResponseWriter, request *http.Request, target any) bool {
	body, ok := readBody(writer, request)
	if !ok {
		return false
	}
	field, err := decodeStrict(body, target)
	if err != nil {
		badField(writer, field, err.Error())
		return false
	}
	return true
}

func readBody(writer http.ResponseWriter, request *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(request.Body)
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeProblem(writer, http.StatusRequestEntityTooLarge, Problem{
			Code:    "body_too_large",
			Field:   "body",
			Message: fmt.Sprintf("body: over the limit of %d bytes", tooLarge.Limit),
		})
		return nil, false
	}
	badField(writer, "body", "could not be read whole: "+err.Error())
	return nil, false
}

// decodeStrict decodes JSON and names the field at fault.
func decodeStrict(body []byte, target any) (field string, err error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(target)
	if err != nil {
		return fieldOf(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return "body", errors.New("holds more than one JSON value")
	}
	return "", nil
}

// fieldOf finds the field in a decoding error.
func fieldOf(err error) (string, error) {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return wrongType.Field, errors.Errorf("is a JSON %s, want %s", wrongType.Value, wrongType.Type)
	}
	const unknownPrefix = `json: unknown field "`
	if name, found := strings.CutPrefix(err.Error(), unknownPrefix); found {
		name = strings.TrimSuffix(name, `"`)
		if name == "" {
			return "body", errors.New("has a field without a name")
		}
		return name, errors.New("is not a known field")
	}
	return "body", errors.Errorf("is not valid JSON: %s", strings.TrimPrefix(err.Error(), "json: "))
}
