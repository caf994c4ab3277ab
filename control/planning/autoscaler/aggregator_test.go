package autoscaler

import (
	"bytes"
	"fmt"
	"testing"

	"onyxwell/base/ids"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/transport"
)

// TestAggregator_equalsSeparateReports adds the same reports to a window one by one and
// as a sum: the window must hold the same.
func TestAggregator_equalsSeparateReports(t *testing.T) {
	reports := []ReportRequest{
		{Region: "north", Samples: []Sample{{Runner: "a", Arrived: 3, Finished: 2, Running: 1.5, Utilization: 0.2}, {Runner: "b", Arrived: 1, Units: 40}},
			Demands: []Demand{{Service: "s", HomeRegions: "north,", Arrived: 4}}, Readings: []headroom.Reading{{Service: "s", Route: "r", Count: 2, FirstTokenMS: 30}}},
		{Region: "north", Samples: []Sample{{Runner: "a", Arrived: 2, Finished: 2, Running: 0.5, Utilization: 0.4, ExecutionMS: 90, Failed: 1}},
			Demands: []Demand{{Service: "s", HomeRegions: "north,", Arrived: 2}, {Service: "s", Arrived: 1}}, Readings: []headroom.Reading{{Service: "s", Route: "r", Count: 1, FirstTokenMS: 10}}},
	}
	apart, together, sum := newWindow(0, 0), newWindow(0, 0), &Aggregator{}
	for _, report := range reports {
		apart.add(report)
		sum.Add(report)
	}
	total, any := sum.Flush()
	if !any {
		t.Fatal("nothing was summed")
	}
	together.add(total)
	for id, run := range apart.runners {
		if other := together.runners[id]; other == nil || other.current != run.current || other.executionMS != run.executionMS || other.units != run.units {
			t.Errorf("%s: %+v, not %+v", id, other, run)
		}
	}
	for key, wanted := range apart.demand {
		if other := together.demand[key]; other == nil || *other != *wanted {
			t.Errorf("%+v: %+v, not %+v", key, other, wanted)
		}
	}
	for key, reading := range apart.readings {
		if together.readings[key] != reading {
			t.Errorf("%+v: %+v, not %+v", key, together.readings[key], reading)
		}
	}
	if _, any := sum.Flush(); any {
		t.Error("a sum was given twice")
	}
}

// TestReportMessage_roundTrip has a report of many runners travel: what is read out of
// the message says the same, in thousandths, and is far shorter.
func TestReportMessage_roundTrip(t *testing.T) {
	report := ReportRequest{From: "r:1", Region: "north", Demands: []Demand{{Service: "s", HomeRegions: "north,", Arrived: 4}}}
	for index := range 200 {
		report.Samples = append(report.Samples, Sample{
			Runner: ids.RunnerID(fmt.Sprint("i-7f3a91", index)), Service: ids.Service([]string{"s", "t"}[index%2]), Arrived: float64(index % 5),
			Finished: 2, Failed: 1, Running: 1.25, Pending: 0.5, ExecutionMS: 320, Units: 1800, MemoryUtilization: 0.125, Utilization: 0.75,
		})
	}
	message, err := report.Encode()
	if err != nil {
		t.Fatal(err)
	}
	read, err := message.Decode()
	plain, _ := transport.Marshal(report)
	if again, _ := transport.Marshal(read); err != nil || !bytes.Equal(again, plain) {
		t.Fatalf("%v: %+v", err, read)
	}
	if 5*len(message.Body) > len(plain) {
		t.Errorf("%d bytes of %d", len(message.Body), len(plain))
	}
	message.Body = message.Body[:len(message.Body)/2]
	if _, err := message.Decode(); err == nil {
		t.Error("half a report is read")
	}
}
