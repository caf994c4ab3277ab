package outlier

import (
	"fmt"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/planning/autoscaler"
)

// newReport returns a report of ten requests at each of ten runners. failed holds
// the number of failed ones by the runner's index.
func newReport(failed map[int]float64) autoscaler.ReportRequest {
	var report autoscaler.ReportRequest
	for index := range 10 {
		report.Samples = append(report.Samples, autoscaler.Sample{
			Runner: ids.RunnerID(fmt.Sprint("i", index)), Service: "s", Finished: 10 - failed[index], Failed: failed[index],
		})
	}
	return report
}

// leftMSByRunner returns the remaining milliseconds of each ejection.
func leftMSByRunner(ejections Ejections) map[ids.RunnerID]int64 {
	leftMS := map[ids.RunnerID]int64{}
	for _, ejection := range ejections.Runners {
		leftMS[ejection.Runner] = ejection.LeftMS
	}
	return leftMS
}

func TestDetector_ejectsOnlyRunnersWorseThanPeers(t *testing.T) {
	fake, detector := clock.NewFake(), &Detector{}
	detector.Add(newReport(map[int]float64{2: 4, 5: 2}), fake.Now())
	ejections, changed := detector.Evaluate(fake.Now())
	if leftMS := leftMSByRunner(ejections); !changed || len(leftMS) != 1 || leftMS["i2"] != 2000 {
		t.Fatalf("ejections %v, changed %v; want only i2 for 2000 ms, changed", leftMS, changed)
	}
	if _, changed = detector.Evaluate(fake.Now()); changed {
		t.Fatal("unchanged ejections are reported as changed")
	}
	all := map[int]float64{}
	for index := range 10 {
		all[index] = 5
	}
	detector = &Detector{}
	detector.Add(newReport(all), fake.Now())
	if ejections, _ = detector.Evaluate(fake.Now()); len(ejections.Runners) != 0 {
		t.Fatalf("all runners have the same failure ratio, yet %v are ejected", ejections)
	}
}

func TestDetector_ejectionTimeBacksOff(t *testing.T) {
	fake, detector := clock.NewFake(), &Detector{}
	previousMS := int64(0)
	for backoff := range 4 {
		detector.Add(newReport(map[int]float64{2: 8}), fake.Now())
		ejections, _ := detector.Evaluate(fake.Now())
		leftMS := leftMSByRunner(ejections)["i2"]
		if leftMS != 2000<<backoff {
			t.Fatalf("ejection %d lasts %d ms, the one before %d ms; want twice as long, 2000 ms for the first", backoff, leftMS, previousMS)
		}
		previousMS = leftMS
		fake.Advance(time.Duration(leftMS+1) * time.Millisecond)
		if ejections, changed := detector.Evaluate(fake.Now()); len(ejections.Runners) != 0 || !changed {
			t.Fatal("an ejection does not end after its time, or its end is not reported as a change")
		}
	}
	fake.Advance(5 * backoffDecay)
	for range 6 {
		detector.Evaluate(fake.Now())
	}
	detector.Add(newReport(map[int]float64{2: 8}), fake.Now())
	if ejections, _ := detector.Evaluate(fake.Now()); leftMSByRunner(ejections)["i2"] != 2000 {
		t.Fatalf("after the decay of the backoff, want an ejection of 2000 ms, got %v", ejections)
	}
}

func TestDetector_boundsEjectedFraction(t *testing.T) {
	fake, detector := clock.NewFake(), &Detector{}
	report := newReport(map[int]float64{1: 9, 2: 9, 3: 9, 4: 9})
	detector.Add(report, fake.Now())
	for range 4 {
		ejections, _ := detector.Evaluate(fake.Now())
		if len(ejections.Runners) > 3 {
			t.Fatalf("%d of 10 runners are ejected, want at most 3", len(ejections.Runners))
		}
		detector.Add(report, fake.Now())
	}
}
