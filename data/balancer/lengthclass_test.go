package balancer

import (
	"testing"

	"onyxwell/control/config"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/data/snapshot"
)

// newLengthClassCandidates returns candidates with the given loads. The first half is
// of class Short, the second of class Long.
func newLengthClassCandidates(loads ...float64) []candidate {
	candidates := newCandidates(make([]float64, len(loads))...)
	for index := range candidates {
		candidates[index].load, candidates[index].weight = loads[index], 1
		candidates[index].lengthClass = lengthstats.Short
		if index >= len(loads)/2 {
			candidates[index].lengthClass = lengthstats.Long
		}
	}
	return candidates
}

// snapshotWithLengths returns a snapshot in which requests of the route "check" are
// short and those of "manifest" are long.
func snapshotWithLengths() *snapshot.Snapshot {
	check := lengthstats.Key{Service: "s", Route: "check", Bucket: lengthstats.BucketOf(1800)}
	manifest := lengthstats.Key{Service: "s", Route: "manifest", Bucket: lengthstats.BucketOf(6600)}
	return &snapshot.Snapshot{Lengths: lengthstats.NewTable(
		[]lengthstats.Expected{{Key: check, DurationMS: 120}, {Key: manifest, DurationMS: 1600}},
		[]lengthstats.Split{{Service: "s", ThresholdMS: 400, ShortWorkShare: 0.5}},
	)}
}

// newAdmission returns the admission of a request of a route with the given token
// counts.
func newAdmission(route string, count string) *Admission {
	req := Request{Route: &config.Route{Name: route}}
	req.ParseTokenCount(count)
	return &Admission{service: "s", request: req}
}

func TestFilterLengthClass_selectsClass(t *testing.T) {
	b, snap := New(Options{}), snapshotWithLengths()
	cases := []struct {
		name      string
		admission *Admission
		loads     []float64
		class     lengthstats.Class
		count     int
	}{
		{"short", newAdmission("check", "1800,24"), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Short, 2},
		{"long", newAdmission("manifest", "6600,400"), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Long, 2},
		{"short spills over at a small load difference", newAdmission("check", "1800,24"), []float64{0.4, 0.4, 0.2, 0.1}, lengthstats.Unknown, 4},
		{"long does not spill over at a small load difference", newAdmission("manifest", "6600,400"), []float64{0.2, 0.2, 0.4, 0.4}, lengthstats.Long, 2},
		{"long spills over if short is idle", newAdmission("manifest", "6600,400"), []float64{0, 0, 0.4, 0.4}, lengthstats.Unknown, 4},
		{"no token counts", newAdmission("check", ""), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Unknown, 4},
		{"malformed token counts", newAdmission("check", "many,none"), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Unknown, 4},
		{"prompt longer than any estimate", newAdmission("check", "500000,24"), []float64{0.1, 0.1, 0.1, 0.1}, lengthstats.Unknown, 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			candidates := b.filterLengthClass(snap, tc.admission, newLengthClassCandidates(tc.loads...))
			if len(candidates) != tc.count {
				t.Errorf("got %d candidates, want %d", len(candidates), tc.count)
			}
			for _, cand := range candidates {
				if tc.class != lengthstats.Unknown && cand.lengthClass != tc.class {
					t.Errorf("got a runner of the wrong class %d", cand.lengthClass)
				}
			}
		})
	}
}

func TestFilterLengthClass_neverEmpty(t *testing.T) {
	b, snap := New(Options{}), snapshotWithLengths()
	onlyLong := newLengthClassCandidates(0.1, 0.1, 0.1, 0.1)[2:]
	if candidates := b.filterLengthClass(snap, newAdmission("check", "1800,24"), onlyLong); len(candidates) != 2 {
		t.Fatalf("got %d candidates, want both runners of the other class", len(candidates))
	}
	if candidates := b.filterLengthClass(&snapshot.Snapshot{}, newAdmission("check", "1800,24"), newLengthClassCandidates(0.1, 0.1)); len(candidates) != 2 {
		t.Fatalf("got %d candidates without estimates, want 2", len(candidates))
	}
}
