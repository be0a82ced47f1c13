package gateway

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"woodworks/internal/api/rollout"
)

func TestDecodeErrorNamesField(t *testing.T) {
	cases := map[string]struct{ body, field, reason string }{
		"empty":         {"", "body", "not valid JSON"},
		"nested type":   {`{"prompts":[{"id":5}]}`, "prompts.id", "number"},
		"unknown field": {`{"nope":1}`, "nope", "not a known field"},
		"trailing":      {`{} x`, "body", "more than one"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var request rollout.Request
			field, err := decodeStrict([]byte(tc.body), &request)
			is.True(err != nil)
			is.Equal(field, tc.field)
			is.True(strings.Contains(err.Error(), tc.reason))
		})
	}
}

func FuzzDecodeStrict(f *testing.F) {
	f.Add([]byte(`{"trainer":"t","name":"n","prompts":[{"id":"a","text":"x"}],"samples_per_prompt":2,"max_tokens":5}`))
	f.Add([]byte(`{"trainer":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var request rollout.Request
		field, err := decodeStrict(body, &request)
		if err != nil && field == "" {
			t.Fatalf("error without a field: %v", err)
		}
		if err == nil && request.Check() == nil && rollout.HeaderOf(request).Samples > rollout.MaxSamples {
			t.Fatal("batch over the limit of samples accepted")
		}
	})
}
