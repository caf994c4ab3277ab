package autoscaler

import (
	"bytes"
	"fmt"
	"testing"

	"onyxwell/base/ids"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/transport"
)

// TestAggregator_equalsSeparateReports checks that a window holds the same after adding
// the sum of several reports as after adding each of them.
func TestAggregator_equalsSeparateReports(t *testing.T) {
	reports := []ReportRequest{
		{Region: "north", Samples: []Sample{{Runner: "a", Arrived: 3, Finished: 2, Running: 1.5, Utilization: 0.2}, {Runner: "b", Arrived: 1, Units: 40}},
			Demands: []Demand{{Service: "s", HomeRegions: "north,", Arrived: 4}}, Readings: []headroom.Reading{{Service: "s", Route: "r", Count: 2, FirstTokenMS: 30}}},
		{Region: "north", Samples: []Sample{{Runner: "a", Arrived: 2, Finished: 2, Running: 0.5, Utilization: 0.4, ExecutionMS: 90, Failed: 1}},
			Demands: []Demand{{Service: "s", HomeRegions: "north,", Arrived: 2}, {Service: "s", Arrived: 1}}, Readings: []headroom.Reading{{Service: "s", Route: "r", Count: 1, FirstTokenMS: 10}}},
	}
	separate, aggregated, aggregator := newWindow(0), newWindow(0), &Aggregator{}
	for _, report := range reports {
		separate.add(report)
		aggregator.Add(report)
	}
	sum, ok := aggregator.Flush()
	if !ok {
		t.Fatal("Flush returned no sum")
	}
	aggregated.add(sum)
	for id, series := range separate.runners {
		if other := aggregated.runners[id]; other == nil || other.current != series.current || other.executionMS != series.executionMS || other.units != series.units {
			t.Errorf("%s: %+v, want %+v", id, other, series)
		}
	}
	for key, rate := range separate.demand {
		if other := aggregated.demand[key]; other == nil || *other != *rate {
			t.Errorf("%+v: %+v, want %+v", key, other, rate)
		}
	}
	for key, reading := range separate.readings {
		if aggregated.readings[key] != reading {
			t.Errorf("%+v: %+v, want %+v", key, aggregated.readings[key], reading)
		}
	}
	if _, ok := aggregator.Flush(); ok {
		t.Error("the second Flush returned the same reports again")
	}
}

// TestReportMessage_roundTrip checks that the message of a report with many runners
// decodes to the same report, if its values are multiples of a thousandth, and takes at
// most a fifth of its size.
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
	decoded, err := message.Decode()
	plain, _ := transport.Marshal(report)
	if again, _ := transport.Marshal(decoded); err != nil || !bytes.Equal(again, plain) {
		t.Fatalf("decoded %+v, error %v", decoded, err)
	}
	if 5*len(message.Body) > len(plain) {
		t.Errorf("message of %d bytes for a report of %d", len(message.Body), len(plain))
	}
	message.Body = message.Body[:len(message.Body)/2]
	if _, err := message.Decode(); err == nil {
		t.Error("a truncated message was decoded without an error")
	}
}
