package scaler

import (
	"testing"

	"onyxwell/control/room"
)

// TestSumsSayWhatTheReportsSay adds the same reports to a window one by one and
// as a sum: the window must hold the same.
func TestSumsSayWhatTheReportsSay(t *testing.T) {
	reports := []ReportAsk{
		{Region: "north", Samples: []Sample{{Runner: "a", Arrived: 3, Finished: 2, Running: 1.5, Busy: 0.2}, {Runner: "b", Arrived: 1, Units: 40}},
			Demands: []Demand{{Service: "s", Homes: "north,", Arrived: 4}}, Readings: []room.Reading{{Service: "s", Route: "r", Count: 2, FirstMS: 30}}},
		{Region: "north", Samples: []Sample{{Runner: "a", Arrived: 2, Finished: 2, Running: 0.5, Busy: 0.4, SpentMS: 90, Failed: 1}},
			Demands: []Demand{{Service: "s", Homes: "north,", Arrived: 2}, {Service: "s", Arrived: 1}}, Readings: []room.Reading{{Service: "s", Route: "r", Count: 1, FirstMS: 10}}},
	}
	apart, together, sum := newWindow(0, 0), newWindow(0, 0), &Sum{}
	for _, report := range reports {
		apart.take(report)
		sum.Add(report)
	}
	total, any := sum.Take()
	if !any {
		t.Fatal("nothing was summed")
	}
	together.take(total)
	for id, run := range apart.runs {
		if other := together.runs[id]; other == nil || other.open != run.open || other.spentMS != run.spentMS || other.units != run.units {
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
	if _, any := sum.Take(); any {
		t.Error("a sum was given twice")
	}
}
