package balancer

import (
	"testing"

	"onyxwell/control/config"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/data/snapshot"
)

func grouped(loads ...float64) []candidate {
	found := some(make([]float64, len(loads))...)
	for index := range found {
		found[index].load, found[index].weight = loads[index], 1
		found[index].group = lengthstats.Short
		if index >= len(loads)/2 {
			found[index].group = lengthstats.Long
		}
	}
	return found
}

func lengthsKnown() *snapshot.Snapshot {
	check := lengthstats.Key{Service: "s", Route: "check", Bucket: lengthstats.BucketOf(1800)}
	manifest := lengthstats.Key{Service: "s", Route: "manifest", Bucket: lengthstats.BucketOf(6600)}
	return &snapshot.Snapshot{Lengths: lengthstats.NewTable(
		[]lengthstats.Expected{{Key: check, DurationMS: 120}, {Key: manifest, DurationMS: 1600}},
		[]lengthstats.Split{{Service: "s", ThresholdMS: 400, ShortWorkShare: 0.5}},
	)}
}

func asks(route string, count string) *Decision {
	asking := Asking{Route: &config.Route{Name: route}}
	asking.Counted(count)
	return &Decision{service: "s", asking: asking}
}

func TestWorkGoesToItsGroup(t *testing.T) {
	gate, seen := NewGate(Options{}), lengthsKnown()
	cases := []struct {
		name  string
		asked *Decision
		loads []float64
		class lengthstats.Class
		count int
	}{
		{"short", asks("check", "1800,24"), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Short, 2},
		{"long", asks("manifest", "6600,400"), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Long, 2},
		{"short borrows soon", asks("check", "1800,24"), []float64{0.4, 0.4, 0.2, 0.1}, lengthstats.Unknown, 4},
		{"long does not borrow soon", asks("manifest", "6600,400"), []float64{0.2, 0.2, 0.4, 0.4}, lengthstats.Long, 2},
		{"long borrows where short is idle", asks("manifest", "6600,400"), []float64{0, 0, 0.4, 0.4}, lengthstats.Unknown, 4},
		{"no count", asks("check", ""), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Unknown, 4},
		{"a broken count", asks("check", "many,none"), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Unknown, 4},
		{"larger than any seen", asks("check", "500000,24"), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Unknown, 4},
	}
	for _, example := range cases {
		found := gate.group(seen, example.asked, grouped(example.loads...))
		if len(found) != example.count {
			t.Errorf("%s: %d runners to choose from, not %d", example.name, len(found), example.count)
		}
		for _, able := range found {
			if example.class != lengthstats.Unknown && able.group != example.class {
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
