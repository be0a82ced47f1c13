package standalone

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"woodworks/examples"
	"woodworks/internal/api/operator"
	"woodworks/internal/requests/route"
)

func policies(t *testing.T, version int64) []byte {
	t.Helper()
	documents := map[string]operator.Document{"qarmoud": {Source: examples.QarmoudPolicy, Version: version}}
	encoded, err := cbor.Marshal(operator.Policies{Version: version, Documents: documents})
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

// The policies in force stay at hand whatever older records are read again.
func TestOlderPoliciesDoNotPushOutTheNewest(t *testing.T) {
	is := is.New(t)
	decoder := &Decoder{}
	var newest *route.Configuration
	for _, version := range []int64{3, 1, 2, 1} {
		record, err := decoder.DecodeOperatorRecord(operator.PoliciesKey, policies(t, version))
		is.NoErr(err)
		if version == 3 {
			newest = record.Configuration
		}
	}
	set, ok := decoder.SetOf(newest)
	is.True(ok)
	_, known := set.Trainers["bots"]
	is.True(known)
}

func TestPoliciesBecomeRoutes(t *testing.T) {
	is := is.New(t)
	decoder := &Decoder{}
	record, err := decoder.DecodeOperatorRecord(operator.PoliciesKey, policies(t, 1))
	is.NoErr(err)
	board, rt := record.Configuration.Find(ServiceHost("game-front"), OperationPath("board"))
	is.True(rt)
	is.Equal(board.Kind, route.Safe)
	move, rt := record.Configuration.Find(ServiceHost("game-front"), OperationPath("move"))
	is.True(rt)
	is.Equal(move.Kind, route.Unsafe)
	is.Equal(move.MaxAttempts, 1)
	is.True(move.Priority <= board.Priority)
	_, rt = record.Configuration.Find(ServiceHost("nobody"), OperationPath("move"))
	is.True(!rt)
	_, err = decoder.DecodeOperatorRecord(operator.PoliciesKey, []byte("no cbor"))
	is.True(err != nil)
}

// A hook that fails falls back, and the metric of its faults tells of it.
func TestFaultsOfHooksAreCounted(t *testing.T) {
	is := is.New(t)
	decoder := &Decoder{}
	source := examples.QarmoudPolicy + "\ndef priority(trainer):\n    return 1 // 0\n"
	encoded, err := cbor.Marshal(operator.Policies{Version: 1, Documents: map[string]operator.Document{"q": {Source: source}}})
	is.NoErr(err)
	record, err := decoder.DecodeOperatorRecord(operator.PoliciesKey, encoded)
	is.NoErr(err)
	is.True(hookFaults(decoder, record.Configuration) > 0)
	is.Equal(hookFaults(decoder, nil), 0.0)
}
