package admit

import (
	"testing"

	"onyxwell/control/lengths"
	"onyxwell/control/spec"
	"onyxwell/data/snapshot"
)

func grouped(loads ...float64) []candidate {
	found := some(make([]float64, len(loads))...)
	for index := range found {
		found[index].load, found[index].weight = loads[index], 1
		found[index].group = lengths.Short
		if index >= len(loads)/2 {
			found[index].group = lengths.Long
		}
	}
	return found
}

func lengthsKnown() *snapshot.Snapshot {
	check := lengths.Kind{Service: "s", Route: "check", Bucket: lengths.BucketOf(1800)}
	manifest := lengths.Kind{Service: "s", Route: "manifest", Bucket: lengths.BucketOf(6600)}
	return &snapshot.Snapshot{Lengths: lengths.NewTable(
		[]lengths.Expected{{Kind: check, MS: 120}, {Kind: manifest, MS: 1600}},
		[]lengths.Split{{Service: "s", CutMS: 400, ShortPart: 0.5}},
	)}
}

func asks(route string, count string) *Decision {
	asking := Asking{Route: &spec.Route{Name: route}}
	asking.Counted(count)
	return &Decision{service: "s", asking: asking}
}

func TestWorkGoesToItsGroup(t *testing.T) {
	gate, seen := NewGate(Options{}), lengthsKnown()
	cases := []struct {
		name  string
		asked *Decision
		loads []float64
		class lengths.Class
		count int
	}{
		{"short", asks("check", "1800,24"), []float64{0.1, 0.1, 0.1, 0.1}, lengths.Short, 2},
		{"long", asks("manifest", "6600,400"), []float64{0.1, 0.1, 0.1, 0.1}, lengths.Long, 2},
		{"short borrows soon", asks("check", "1800,24"), []float64{0.4, 0.4, 0.2, 0.1}, lengths.Unknown, 4},
		{"long does not borrow soon", asks("manifest", "6600,400"), []float64{0.2, 0.2, 0.4, 0.4}, lengths.Long, 2},
		{"long borrows where short is idle", asks("manifest", "6600,400"), []float64{0, 0, 0.4, 0.4}, lengths.Unknown, 4},
		{"no count", asks("check", ""), []float64{0.1, 0.1, 0.1, 0.1}, lengths.Unknown, 4},
		{"a broken count", asks("check", "many,none"), []float64{0.1, 0.1, 0.1, 0.1}, lengths.Unknown, 4},
		{"larger than any seen", asks("check", "500000,24"), []float64{0.1, 0.1, 0.1, 0.1}, lengths.Unknown, 4},
	}
	for _, example := range cases {
		found := gate.group(seen, example.asked, grouped(example.loads...))
		if len(found) != example.count {
			t.Errorf("%s: %d runners to choose from, not %d", example.name, len(found), example.count)
		}
		for _, able := range found {
			if example.class != lengths.Unknown && able.group != example.class {
				t.Errorf("%s: a runner of class %d", example.name, able.group)
			}
		}
	}
}

func TestGroupingNeverRefuses(t *testing.T) {
	gate, seen := NewGate(Options{}), lengthsKnown()
	onlyLong := grouped(0.1, 0.1, 0.1, 0.1)[2:]
	if found := gate.group(seen, asks("check", "1800,24"), onlyLong); len(found) != 2 {
		t.Fatalf("%d runners, though only the other class has any", len(found))
	}
	if found := gate.group(&snapshot.Snapshot{}, asks("check", "1800,24"), grouped(0.1, 0.1)); len(found) != 2 {
		t.Fatalf("%d runners without any estimates", len(found))
	}
}
