package rollout

import (
	"encoding/hex"
	"testing"
)

// Register values that the build before stable versions were stored (97e32c4) wrote: v2 was
// reverted and, in the next one, v3 ordered. They must never be edited.
const (
	earlierReverted = "047404d50602047632c0bb0180a0899fc5680602a0060678726f75746520723a2039206f6620313220617474656d707473206661696c65642c2030206f6620353020617420746865206f6c642076657273696f6e010604763200"
	earlierNext     = "047404d50804047633c0bb01a0bf899fc5680200000000010604763200"
)

// TestDirector_goesOnFromEarlierRecords starts a director on records of an earlier build, which
// come without a stable version: it stores the one that serves, keeps the reverted version out
// and goes on.
func TestDirector_goesOnFromEarlierRecords(t *testing.T) {
	for name, value := range map[string]string{"reverted": earlierReverted, "next ordered": earlierNext} {
		t.Run(name, func(t *testing.T) {
			h := newDirectorHarness(t, "v1", "v2", "v2")
			h.apply(func([]byte) ([]byte, error) { return hex.DecodeString(value) })
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
