package outlier

import (
	"fmt"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/planning/autoscaler"
)

// newReport makes a report of ten runners, of which some fail a part of ten requests.
func newReport(failing map[int]float64) autoscaler.ReportRequest {
	var report autoscaler.ReportRequest
	for index := range 10 {
		report.Samples = append(report.Samples, autoscaler.Sample{
			Runner: ids.RunnerID(fmt.Sprint("i", index)), Service: "s", Finished: 10 - failing[index], Failed: failing[index],
		})
	}
	return report
}

func leftMSByRunner(rests Ejections) map[ids.RunnerID]int64 {
	found := map[ids.RunnerID]int64{}
	for _, rest := range rests.Runners {
		found[rest.Runner] = rest.LeftMS
	}
	return found
}

func TestDetector_ejectsOnlyRunnersWorseThanPeers(t *testing.T) {
	machine, judge := clock.NewFake(), &Detector{}
	judge.Add(newReport(map[int]float64{2: 4, 5: 2}), machine.Now())
	rests, changed := judge.Evaluate(machine.Now())
	if found := leftMSByRunner(rests); !changed || len(found) != 1 || found["i2"] != 2000 {
		t.Fatalf("%v %v", found, changed)
	}
	if _, changed = judge.Evaluate(machine.Now()); changed {
		t.Fatal("the same verdict is told again")
	}
	all := map[int]float64{}
	for index := range 10 {
		all[index] = 5
	}
	judge = &Detector{}
	judge.Add(newReport(all), machine.Now())
	if rests, _ = judge.Evaluate(machine.Now()); len(rests.Runners) != 0 {
		t.Fatalf("all fail alike, and yet %v rest", rests)
	}
}

func TestDetector_ejectionTimeBacksOff(t *testing.T) {
	machine, judge := clock.NewFake(), &Detector{}
	lasted := int64(0)
	for fall := range 4 {
		judge.Add(newReport(map[int]float64{2: 8}), machine.Now())
		rests, _ := judge.Evaluate(machine.Now())
		left := leftMSByRunner(rests)["i2"]
		if left != 2000<<fall {
			t.Fatalf("rest %d lasts %d ms after one of %d", fall, left, lasted)
		}
		lasted = left
		machine.Advance(clock.Span(left+1) * clock.Millisecond)
		if rests, changed := judge.Evaluate(machine.Now()); len(rests.Runners) != 0 || !changed {
			t.Fatal("a rest has no end")
		}
	}
	machine.Advance(5 * backoffDecay)
	for range 6 {
		judge.Evaluate(machine.Now())
	}
	judge.Add(newReport(map[int]float64{2: 8}), machine.Now())
	if rests, _ := judge.Evaluate(machine.Now()); leftMSByRunner(rests)["i2"] != 2000 {
		t.Fatalf("falls of long ago are not forgiven: %v", rests)
	}
}

func TestDetector_boundsEjectedFraction(t *testing.T) {
	machine, judge := clock.NewFake(), &Detector{}
	judge.Add(newReport(map[int]float64{1: 9, 2: 9, 3: 9, 4: 9}), machine.Now())
	for range 4 {
		rests, _ := judge.Evaluate(machine.Now())
		if len(rests.Runners) > 3 {
			t.Fatalf("%d of ten rest", len(rests.Runners))
		}
		judge.Add(newReport(map[int]float64{1: 9, 2: 9, 3: 9, 4: 9}), machine.Now())
	}
}
