package outlier

import (
	"fmt"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/planning/autoscaler"
)

// newReport reports ten requests at each of ten runners; failed gives how many of
// them failed, by runner.
func newReport(failed map[int]float64) autoscaler.ReportRequest {
	var report autoscaler.ReportRequest
	for index := range 10 {
		report.Samples = append(report.Samples, autoscaler.Sample{
			Runner: ids.RunnerID(fmt.Sprint("i", index)), Service: "s", Finished: 10 - failed[index], Failed: failed[index],
		})
	}
	return report
}

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
		t.Fatalf("%v %v", leftMS, changed)
	}
	if _, changed = detector.Evaluate(fake.Now()); changed {
		t.Fatal("the same ejections count as changed")
	}
	all := map[int]float64{}
	for index := range 10 {
		all[index] = 5
	}
	detector = &Detector{}
	detector.Add(newReport(all), fake.Now())
	if ejections, _ = detector.Evaluate(fake.Now()); len(ejections.Runners) != 0 {
		t.Fatalf("all fail alike, yet %v are ejected", ejections)
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
			t.Fatalf("ejection %d lasts %d ms after one of %d", backoff, leftMS, previousMS)
		}
		previousMS = leftMS
		fake.Advance(time.Duration(leftMS+1) * time.Millisecond)
		if ejections, changed := detector.Evaluate(fake.Now()); len(ejections.Runners) != 0 || !changed {
			t.Fatal("an ejection does not end")
		}
	}
	fake.Advance(5 * backoffDecay)
	for range 6 {
		detector.Evaluate(fake.Now())
	}
	detector.Add(newReport(map[int]float64{2: 8}), fake.Now())
	if ejections, _ := detector.Evaluate(fake.Now()); leftMSByRunner(ejections)["i2"] != 2000 {
		t.Fatalf("the backoff does not decay: %v", ejections)
	}
}

func TestDetector_boundsEjectedFraction(t *testing.T) {
	fake, detector := clock.NewFake(), &Detector{}
	report := newReport(map[int]float64{1: 9, 2: 9, 3: 9, 4: 9})
	detector.Add(report, fake.Now())
	for range 4 {
		ejections, _ := detector.Evaluate(fake.Now())
		if len(ejections.Runners) > 3 {
			t.Fatalf("%d of ten are ejected", len(ejections.Runners))
		}
		detector.Add(report, fake.Now())
	}
}
