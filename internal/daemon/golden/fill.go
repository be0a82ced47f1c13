package golden

import (
	"encoding/json"
	"reflect"
	"strconv"
)

// Filled returns a value with something different in each exported field, always the same:
// two elements in each slice, one in each map, whose order an encoding need not keep.
func Filled[T any]() *T {
	value := new(T)
	f := filler{}
	f.fill(reflect.ValueOf(value).Elem())
	return value
}

// filler counts the values that it has given.
type filler struct{ n int }

var rawType = reflect.TypeFor[json.RawMessage]()

func (f *filler) text(prefix string) string {
	f.n++
	return prefix + strconv.Itoa(f.n)
}

func (f *filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		f.n++
		v.SetInt(int64(f.n))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		f.n++
		v.SetUint(uint64(f.n))
	case reflect.Float32, reflect.Float64:
		f.n++
		v.SetFloat(float64(f.n) + 0.5)
	case reflect.String:
		v.SetString(f.text("text"))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Slice:
		f.fillSlice(v)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() || field.Anonymous {
				f.fill(v.Field(i))
			}
		}
	}
}

func (f *filler) fillSlice(v reflect.Value) {
	switch {
	case v.Type() == rawType:
		v.SetBytes([]byte(`"` + f.text("raw") + `"`))
	case v.Type().Elem().Kind() == reflect.Uint8:
		v.SetBytes([]byte(f.text("bytes")))
	default:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fill(v.Index(0))
		f.fill(v.Index(1))
	}
}

// Strings returns the texts among the fields of a struct, a line each, in their order.
func Strings(of any) string {
	lines := ""
	for v, i := reflect.ValueOf(of), 0; i < v.NumField(); i++ {
		if v.Field(i).Kind() == reflect.String {
			lines += v.Field(i).String() + "\n"
		}
	}
	return lines
}
