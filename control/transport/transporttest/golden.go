// Package transporttest checks that the encoding of stored values and messages
// doesn't change: every build must be able to read what another one stores or sends.
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

var update = flag.Bool("update-forms", false, "write the golden files that don't exist yet")

// Golden checks the encoding of one type against testdata/forms/NAME.hex of the
// package under test: a fixed value must encode to these bytes, and these bytes must
// decode to that value. With -update-forms a missing file is written; an existing one
// is never overwritten.
func Golden[Value any](t *testing.T, name string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		var value Value
		filler := &filler{}
		filler.fill(reflect.ValueOf(&value).Elem())
		encoded, err := transport.Marshal(value)
		if err != nil {
			t.Fatalf("encode: %v", err)
		}
		path := filepath.Join("testdata", "forms", name+".hex")
		if _, err := os.Stat(path); os.IsNotExist(err) && *update {
			writeHexFile(t, path, encoded)
		}
		golden := readHexFile(t, path)
		if string(encoded) != string(golden) {
			t.Errorf("encodes to\n%x, not to\n%x", encoded, golden)
		}
		decoded, err := transport.Unmarshal[Value](golden)
		if err != nil {
			t.Fatalf("decode: %v", err)
		}
		if !reflect.DeepEqual(decoded, value) {
			t.Errorf("decodes to\n%+v, not to\n%+v", decoded, value)
		}
		reencoded, err := transport.Marshal(decoded)
		if err != nil || string(reencoded) != string(golden) {
			t.Errorf("encodes again to %x, %v", reencoded, err)
		}
	})
}

// bytesPerLine is the number of bytes in one line of a golden file.
const bytesPerLine = 32

func writeHexFile(t *testing.T, path string, encoded []byte) {
	t.Helper()
	var lines strings.Builder
	for len(encoded) > 0 {
		count := min(bytesPerLine, len(encoded))
		fmt.Fprintf(&lines, "%x\n", encoded[:count])
		encoded = encoded[count:]
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(lines.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

func readHexFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := hex.DecodeString(strings.ReplaceAll(string(text), "\n", ""))
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	return encoded
}

// filler sets the fields of a value to test data that depends only on the position
// of each field, not on its name. Except for booleans, no two fields of the same kind
// get the same content.
type filler struct{ count int64 }

// filledSliceLength is the length of every slice other than byte slices.
const filledSliceLength = 2

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
		panic(fmt.Sprintf("transporttest: type %s is not supported", value.Type()))
	}
}

func (f *filler) fillSlice(value reflect.Value) {
	if value.Type().Elem().Kind() == reflect.Uint8 {
		value.SetBytes(fmt.Appendf(nil, "bytes-%d", f.count))
		return
	}
	value.Set(reflect.MakeSlice(value.Type(), filledSliceLength, filledSliceLength))
	for index := range value.Len() {
		f.fill(value.Index(index))
	}
}
