package journal

import (
	"testing"

	"github.com/matryer/is"

	"woodworks/internal/daemon/golden"
)

// Guards against a changed encoding of the messages between daemons and to the log service.
func TestMessageEncodingsAreStable(t *testing.T) {
	golden.CBOR[Partition](t, "partition")
	golden.CBOR[Append](t, "append")
	golden.CBOR[Appended](t, "appended")
	golden.CBOR[Read](t, "read")
	golden.CBOR[Records](t, "records")
	golden.CBOR[KeyedRecord](t, "keyed-record")
	golden.CBOR[KeyedPage](t, "keyed-page")
	golden.CBOR[Join](t, "join")
	golden.CBOR[Assignment](t, "assignment")
	golden.CBOR[Ownership](t, "ownership")
}

// Guards against a changed encoding of stored keyed records.
func TestKeyedRecordEncodingIsStable(t *testing.T) {
	is := is.New(t)
	encoded := EncodeKeyed("key", []byte("value"))
	golden.Text(t, "keyed.bin", encoded)
	golden.Text(t, "keyed-topic.txt", KeyedTopic("topic"))
	decoded, err := DecodeKeyed(encoded)
	is.NoErr(err)
	is.Equal(decoded, KeyedRecord{Key: "key", Value: []byte("value")})
}
