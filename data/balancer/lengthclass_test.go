package balancer

import (
	"testing"

	"onyxwell/control/config"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/data/snapshot"
)

func newLengthClassCandidates(loads ...float64) []candidate {
	found := newCandidates(make([]float64, len(loads))...)
	for index := range found {
		found[index].load, found[index].weight = loads[index], 1
		found[index].lengthClass = lengthstats.Short
		if index >= len(loads)/2 {
			found[index].lengthClass = lengthstats.Long
		}
	}
	return found
}

func snapshotWithLengths() *snapshot.Snapshot {
	check := lengthstats.Key{Service: "s", Route: "check", Bucket: lengthstats.BucketOf(1800)}
	manifest := lengthstats.Key{Service: "s", Route: "manifest", Bucket: lengthstats.BucketOf(6600)}
	return &snapshot.Snapshot{Lengths: lengthstats.NewTable(
		[]lengthstats.Expected{{Key: check, DurationMS: 120}, {Key: manifest, DurationMS: 1600}},
		[]lengthstats.Split{{Service: "s", ThresholdMS: 400, ShortWorkShare: 0.5}},
	)}
}

func newAdmission(route string, count string) *Admission {
	asking := Request{Route: &config.Route{Name: route}}
	asking.ParseTokenCount(count)
	return &Admission{service: "s", request: asking}
}

func TestFilterLengthClass_selectsClass(t *testing.T) {
	gate, seen := New(Options{}), snapshotWithLengths()
	cases := []struct {
		name  string
		asked *Admission
		loads []float64
		class lengthstats.Class
		count int
	}{
		{"short", newAdmission("check", "1800,24"), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Short, 2},
		{"long", newAdmission("manifest", "6600,400"), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Long, 2},
		{"short borrows soon", newAdmission("check", "1800,24"), []float64{0.4, 0.4, 0.2, 0.1}, lengthstats.Unknown, 4},
		{"long does not borrow soon", newAdmission("manifest", "6600,400"), []float64{0.2, 0.2, 0.4, 0.4}, lengthstats.Long, 2},
		{"long borrows where short is idle", newAdmission("manifest", "6600,400"), []float64{0, 0, 0.4, 0.4}, lengthstats.Unknown, 4},
		{"no count", newAdmission("check", ""), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Unknown, 4},
		{"a broken count", newAdmission("check", "many,none"), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Unknown, 4},
		{"larger than any seen", newAdmission("check", "500000,24"), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Unknown, 4},
	}
	for _, example := range cases {
		found := gate.filterLengthClass(seen, example.asked, newLengthClassCandidates(example.loads...))
		if len(found) != example.count {
			t.Errorf("%s: %d runners to choose from, not %d", example.name, len(found), example.count)
		}
		for _, able := range found {
			if example.class != lengthstats.Unknown && able.lengthClass != example.class {
				t.Errorf("%s: a runner of class %d", example.name, able.lengthClass)
			}
		}
	}
}

func TestFilterLengthClass_neverEmpty(t *testing.T) {
	gate, seen := New(Options{}), snapshotWithLengths()
	onlyLong := newLengthClassCandidates(0.1, 0.1, 0.1, 0.1)[2:]
	if found := gate.filterLengthClass(seen, newAdmission("check", "1800,24"), onlyLong); len(found) != 2 {
		t.Fatalf("%d runners, though only the other class has any", len(found))
	}
	if found := gate.filterLengthClass(&snapshot.Snapshot{}, newAdmission("check", "1800,24"), newLengthClassCandidates(0.1, 0.1)); len(found) != 2 {
		t.Fatalf("%d runners without any estimates", len(found))
	}
}
