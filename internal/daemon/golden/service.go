package golden

import (
	"encoding"
	"encoding/gob"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

var (
	errorType  = reflect.TypeFor[error]()
	gobType    = reflect.TypeFor[gob.GobEncoder]()
	binaryType = reflect.TypeFor[encoding.BinaryMarshaler]()
)

// Service checks the methods that a receiver of net/rpc offers under a name, with the forms
// of their messages. Two structs of the same form are the same message to it.
func Service(t *testing.T, name string, receiver any) {
	t.Helper()
	var lines strings.Builder
	methods := reflect.TypeOf(receiver)
	for i := range methods.NumMethod() {
		if m := methods.Method(i); callable(m.Type) {
			fmt.Fprintf(&lines, "%s.%s\n  asked: %s\n  answer: %s\n", name, m.Name, form(m.Type.In(1)), form(m.Type.In(2)))
		}
	}
	Text(t, "service.txt", lines.String())
}

// callable reports whether net/rpc offers a method: a receiver, a message, a pointer to the
// answer, and an error.
func callable(m reflect.Type) bool {
	return m.NumIn() == 3 && m.In(2).Kind() == reflect.Pointer && m.NumOut() == 1 && m.Out(0) == errorType
}

// form describes what gob makes of a type: names of fields count, those of types don't.
func form(t reflect.Type) string {
	if t.Implements(gobType) || t.Implements(binaryType) {
		return "opaque " + t.Name()
	}
	switch t.Kind() {
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		return "int"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "uint"
	case reflect.Pointer:
		return form(t.Elem())
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Uint8 {
			return "bytes"
		}
		return "[]" + form(t.Elem())
	case reflect.Array:
		return fmt.Sprintf("[%d]%s", t.Len(), form(t.Elem()))
	case reflect.Map:
		return "map[" + form(t.Key()) + "]" + form(t.Elem())
	case reflect.Struct:
		var fields []string
		for i := range t.NumField() {
			if field := t.Field(i); field.IsExported() {
				fields = append(fields, field.Name+" "+form(field.Type))
			}
		}
		return "{" + strings.Join(fields, ", ") + "}"
	default:
		return t.Kind().String()
	}
}
