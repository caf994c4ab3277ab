// Package transporttest checks that stored values and messages keep their bytes:
// what one build stores or sends must be read by every other.
package transporttest

import (
	"encoding/hex"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"onyxwell/control/transport"
)

var update = flag.Bool("update-forms", false, "write the golden files of forms that have none yet")

// Golden checks one form against testdata/forms/NAME.hex of the package under
// test: a fixed value packs to these bytes, and these bytes unpack to that
// value. With -update-forms a file that is missing is written; one that exists
// is never overwritten.
func Golden[Form any](t *testing.T, name string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		var value Form
		filler := &filler{}
		filler.fill(reflect.ValueOf(&value).Elem())
		packed, err := transport.Marshal(value)
		if err != nil {
			t.Fatalf("pack: %v", err)
		}
		path := filepath.Join("testdata", "forms", name+".hex")
		if _, err := os.Stat(path); os.IsNotExist(err) && *update {
			write(t, path, packed)
		}
		golden := read(t, path)
		if string(packed) != string(golden) {
			t.Errorf("packs to\n%x, not to\n%x", packed, golden)
		}
		unpacked, err := transport.Unmarshal[Form](golden)
		if err != nil {
			t.Fatalf("unpack: %v", err)
		}
		if !reflect.DeepEqual(unpacked, value) {
			t.Errorf("unpacks to\n%+v, not to\n%+v", unpacked, value)
		}
		again, err := transport.Marshal(unpacked)
		if err != nil || string(again) != string(golden) {
			t.Errorf("packs again to %x, %v", again, err)
		}
	})
}

const bytesPerLine = 32

func write(t *testing.T, path string, packed []byte) {
	t.Helper()
	var lines strings.Builder
	for len(packed) > 0 {
		count := min(bytesPerLine, len(packed))
		fmt.Fprintf(&lines, "%x\n", packed[:count])
		packed = packed[count:]
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(lines.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

func read(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	packed, err := hex.DecodeString(strings.ReplaceAll(string(text), "\n", ""))
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return packed
}

// filler sets every field of a value to something that no other field of the
// same kind has, by the order of the fields alone: names play no part.
type filler struct{ count int64 }

const slicesHold = 2

func (f *filler) fill(value reflect.Value) {
	f.count++
	switch value.Kind() {
	case reflect.String:
		value.SetString(fmt.Sprintf("text-%d", f.count))
	case reflect.Int, reflect.Int64:
		value.SetInt(f.count*1001 - 5)
	case reflect.Float64:
		value.SetFloat(float64(f.count) + 0.375)
	case reflect.Bool:
		value.SetBool(f.count%3 != 0)
	case reflect.Slice:
		f.fillSlice(value)
	case reflect.Struct:
		for index := range value.NumField() {
			f.fill(value.Field(index))
		}
	default:
		panic(fmt.Sprintf("transporttest: %s has no form", value.Type()))
	}
}

func (f *filler) fillSlice(value reflect.Value) {
	if value.Type().Elem().Kind() == reflect.Uint8 {
		value.SetBytes(fmt.Appendf(nil, "bytes-%d", f.count))
		return
	}
	value.Set(reflect.MakeSlice(value.Type(), slicesHold, slicesHold))
	for index := range value.Len() {
		f.fill(value.Index(index))
	}
}
