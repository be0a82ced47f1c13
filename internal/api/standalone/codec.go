package standalone

import (
	"net/http"

	"github.com/pkg/errors"

	"woodworks/internal/batches/batch"
	"woodworks/internal/batches/results"
	"woodworks/internal/requests/ingress"
)

// errNoBatches is returned for what the gateway never asks of the ingress.
var errNoBatches = errors.New("standalone: batches come through /v1/")

// codec is that of an ingress behind the gateway: it gets single requests only.
type codec struct{}

var _ ingress.Codec = codec{}

func (codec) ParseCall(*http.Request) (call ingress.BatchCall, recognised bool, err error) { return }
func (codec) DecodeSubmission([]byte) (*batch.Submission, error)                           { return nil, errNoBatches }
func (codec) EncodeResults(results.Page) ([]byte, error)                                   { return nil, errNoBatches }
func (codec) EncodeError(text string) []byte                                               { return []byte(text) }
