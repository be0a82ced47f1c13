// Package golden holds what leaves the process to test data: stored records, messages
// between daemons, answers, settings, names of metrics. Only tests import it.
//
// A value of a type is filled with a different value in each exported field. What it was
// encoded to when the test data was made must decode to the same value and encode to the
// same bytes. Test data is made with -update, and only when the form is meant to change:
// stored data and daemons of the version before know the old one.
//
// # Usage
//
//	golden.CBOR[record](t, "record")                // testdata/golden/record.cbor
//	golden.Gob[Query](t, "query")                   // a message of net/rpc
//	golden.Service(t, "Results", &Service{})        // its methods, and the forms of their messages
//	golden.Text(t, "kinds", fmt.Sprint(kindA, kindB)) // anything else
package golden

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

var update = flag.Bool("update", false, "make the test data anew instead of checking against it")

const (
	folder   = "testdata/golden"
	fileMode = 0o644
	dirMode  = 0o755
)

// Text checks a text, or bytes, against the file of a name.
func Text[T ~string | ~[]byte](t *testing.T, name string, now T) {
	t.Helper()
	if want := kept(t, name, []byte(now)); !bytes.Equal(want, []byte(now)) {
		t.Errorf("%s was\n%s\nand is\n%s", name, want, []byte(now))
	}
}

// CBOR checks the encoding of a type as CBOR.
func CBOR[T any](t *testing.T, name string) {
	t.Helper()
	Codec[T](t, name+".cbor", cbor.Marshal, cbor.Unmarshal)
}

// JSON checks the encoding of a type as JSON.
func JSON[T any](t *testing.T, name string) {
	t.Helper()
	Codec[T](t, name+".json", json.Marshal, json.Unmarshal)
}

// Codec checks the encoding of a type.
func Codec[T any](t *testing.T, name string, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	t.Helper()
	encoded, err := encode(Filled[T]())
	if err != nil {
		t.Fatal(err)
	}
	Text(t, name, encoded)
	value := new(T)
	if err := decode(kept(t, name, encoded), value); err != nil {
		t.Fatal(err)
	}
	again, err := encode(value)
	if err != nil {
		t.Fatal(err)
	}
	Text(t, name, again)
}

// Gob checks that a message of net/rpc is understood as it was sent before. Its bytes hold
// numbers and names of types, which mean nothing: what is sent now is checked by Service.
func Gob[T any](t *testing.T, name string) {
	t.Helper()
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(Filled[T]()); err != nil {
		t.Fatal(err)
	}
	value := new(T)
	if err := gob.NewDecoder(bytes.NewReader(kept(t, name+".gob", encoded.Bytes()))).Decode(value); err != nil {
		t.Fatal(err)
	}
	if want := Filled[T](); !reflect.DeepEqual(value, want) {
		t.Errorf("%s was\n%+v\nand is\n%+v", name, want, value)
	}
}

// kept returns the content of a file of the test data, after an update what is given.
func kept(t *testing.T, name string, now []byte) []byte {
	t.Helper()
	if *update {
		err := errors.Join(os.MkdirAll(folder, dirMode), os.WriteFile(filepath.Join(folder, name), now, fileMode))
		if err != nil {
			t.Fatal(err)
		}
	}
	return read(t, name)
}

func read(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(folder, name))
	if err != nil {
		t.Fatal(err)
	}
	return content
}
