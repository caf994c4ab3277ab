package rollout

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// earlierRecord returns a register value that the build before stable versions were stored
// (97e32c4) wrote: v2 was reverted and, in the next one, v3 ordered.
func earlierRecord(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "earlier", name+"_97e32c4.hex"))
	if err != nil {
		t.Fatal(err)
	}
	value, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// TestDirector_goesOnFromEarlierRecords starts a director on records of an earlier build, which
// come without a stable version: it stores the one that serves, keeps the reverted version out
// and goes on.
func TestDirector_goesOnFromEarlierRecords(t *testing.T) {
	for _, name := range []string{"reverted_record", "next_record"} {
		t.Run(name, func(t *testing.T) {
			h := newDirectorHarness(t, "v1", "v2", "v2")
			h.apply(func([]byte) ([]byte, error) { return earlierRecord(t, name), nil })
			record, err := Decode("s", h.registers[Key("s")])
			if err != nil {
				t.Fatal(err)
			}
			h.checkStable(record.Order, record.Target, "v1")
			if record.IsReverted() {
				h.order("v3")
			}
			h.checkStable(2, "v3", "v1")
			if excluded := h.director.Excluded("s"); excluded["v1"] || !excluded["v2"] {
				t.Errorf("excluded versions %v, want v2 alone", excluded)
			}
		})
	}
}
