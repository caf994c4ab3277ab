package jsonsize

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

func TestDecoded_countsOutsideOfStrings(t *testing.T) {
	for text, want := range map[string]int64{
		``:                     0,
		`7`:                    0,
		`"{[,"`:                0,
		`"\"{[,"`:              0,
		`"\\",`:                valueBytes,
		`[]`:                   valueBytes,
		`[0,"a,b",0]`:          3 * valueBytes,
		`{"a":0,"b":{"c":[]}}`: 2*objectBytes + 4*valueBytes,
		`{"a\"{":0}`:           objectBytes + valueBytes,
	} {
		if got := Decoded([]byte(text)) - int64(len(text)); got != want {
			t.Errorf("%s: %d bytes beside the text, want %d", text, got, want)
		}
	}
}

// TestDecoded_coversWhatDecodingTakes compares the estimate with what texts of one kind of
// value each, and a list of tenants, take when they are decoded.
func TestDecoded_coversWhatDecodingTakes(t *testing.T) {
	var fields, tenants strings.Builder
	for number := range 20_000 {
		fmt.Fprintf(&fields, `"%d":%d,`, number, number)
		fmt.Fprintf(&tenants, `{"name":"t%d","api_keys":["k%d"],"rate_per_s":2.5,"burst":40,"measured_in":"tokens"},`, number, number)
	}
	repeat := func(value string, count int) string { return "[" + strings.Repeat(value+",", count) + "0]" }
	nested := strings.Repeat(`{"a":`, 2000) + "0" + strings.Repeat("}", 2000)
	for name, text := range map[string]string{
		"numbers": repeat("7", 50_000), "strings": repeat(`"a"`, 50_000), "lists": repeat("[7]", 50_000), "empty objects": repeat("{}", 50_000),
		"objects": repeat(`{"a":7}`, 20_000), "nested objects": repeat(nested, 10), "fields": "{" + fields.String() + `"x":0}`,
		"tenants": "[" + tenants.String() + "0]",
	} {
		estimate, before := Decoded([]byte(text)), liveBytes()
		var value any
		if err := json.Unmarshal([]byte(text), &value); err != nil {
			t.Fatal(name, err)
		}
		taken := liveBytes() - before
		runtime.KeepAlive(value)
		if estimate < taken || estimate > 8*taken {
			t.Errorf("%s: %d bytes are estimated, %d are taken", name, estimate, taken)
		}
	}
}

// liveBytes returns the memory that is in use after a collection.
func liveBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
