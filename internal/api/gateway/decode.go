package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// decodeJSON decodes the JSON body of a request into target and reports whether it succeeded. It
// answers unknown fields, wrong types, trailing data and oversized bodies with a problem that names
// the field.
func decodeJSON(w http.ResponseWriter, r *http.Request, target any) bool {
	body, ok := readBody(w, r)
	if !ok {
		return false
	}
	field, err := decodeStrict(body, target)
	if err != nil {
		writeFieldError(w, field, err.Error())
		return false
	}
	return true
}

// readBody returns the whole body of a request. If the body is too large or cannot be read, it
// writes a problem and returns false.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(r.Body)
	if err == nil {
		return body, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeProblem(w, Problem{status: http.StatusRequestEntityTooLarge,
			Code:    "body_too_large",
			Field:   "body",
			Message: fmt.Sprintf("body: over the limit of %d bytes", tooLarge.Limit),
		})
		return nil, false
	}
	writeFieldError(w, "body", "could not be read whole: "+err.Error())
	return nil, false
}

// decodeStrict decodes a single JSON value into target and rejects unknown fields. On failure it
// returns the name of the faulty field, or "body" if no field is at fault.
func decodeStrict(body []byte, target any) (field string, err error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(target)
	if err != nil {
		return describeDecodeError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return "body", errors.New("holds more than one JSON value")
	}
	return "", nil
}

// describeDecodeError converts a decoding error to the name of the faulty field, or "body" if the
// error names none, and an error whose text continues that name.
func describeDecodeError(err error) (string, error) {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return wrongType.Field, errors.Errorf("is a JSON %s, want %s", wrongType.Value, wrongType.Type)
	}
	const unknownPrefix = `json: unknown field "`
	if name, ok := strings.CutPrefix(err.Error(), unknownPrefix); ok {
		name = strings.TrimSuffix(name, `"`)
		if name == "" {
			return "body", errors.New("has a field without a name")
		}
		return name, errors.New("is not a known field")
	}
	return "body", errors.Errorf("is not valid JSON: %s", strings.TrimPrefix(err.Error(), "json: "))
}
