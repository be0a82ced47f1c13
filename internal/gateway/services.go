package gateway

import (
	"net/http"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"woodworks/internal/calls"
	"woodworks/internal/policy"
)

// KeyHeader carries a caller's key for a non-repeatable request. Its name is
// not one on which net/http replays a request.
const KeyHeader = "Woodworks-Request-Key"

// callService passes an operation on to a plain service. A service that does
// not exist for the listener's audience is not told apart from an unknown one.
func (gateway *Gateway) callService(audience policy.Audience) handler {
	return func(writer http.ResponseWriter, request *http.Request, caller policy.Caller) {
		variables := pathvar.Vars(request)
		service, known := gateway.catalog.Policy().Services[variables["service"]]
		hidden := known && audience == policy.Public && service.Audience == policy.Internal
		if !known || hidden || service.Kind != policy.PlainService {
			writeProblem(writer, http.StatusNotFound, Problem{Code: "unknown_service", Field: "service", Message: "service: no such service"})
			return
		}
		operation, known := service.Operations[variables["operation"]]
		if !known {
			writeProblem(writer, http.StatusNotFound, Problem{Code: "unknown_operation", Field: "operation", Message: "operation: the service has no such operation"})
			return
		}
		key, ok := requestKey(writer, request, operation)
		if !ok {
			return
		}
		body, ok := readBody(writer, request)
		if !ok {
			return
		}
		writeOutcome(writer, gateway.parts.Calls.Do(request.Context(), calls.Request{
			Caller:      caller.Name,
			Service:     service.Name,
			Operation:   operation,
			Key:         key,
			ContentType: request.Header.Get("Content-Type"),
			Body:        body,
		}))
	}
}

// requestKey reads the key header. Repeatable operations need none and ignore it.
func requestKey(writer http.ResponseWriter, request *http.Request, operation policy.Operation) (*calls.Key, bool) {
	text := request.Header.Get(KeyHeader)
	if text == "" || operation.Repeatable {
		return nil, true
	}
	key, err := calls.ParseKey(text)
	if err != nil {
		badField(writer, KeyHeader, err.Error())
		return nil, false
	}
	return &key, true
}
