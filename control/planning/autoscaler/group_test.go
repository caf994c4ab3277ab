package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"onyxwell/base/ids"
	"onyxwell/control/planning/lengthstats"
)

// lengthReport returns a report with one key of short requests and one of long requests.
// The parameters short and long are the numbers of requests.
func lengthReport(region ids.Region, short float64, long float64) ReportRequest {
	return ReportRequest{Region: region, Lengths: []lengthstats.Totals{
		{Key: lengthstats.Key{Service: "s", Route: "check", Bucket: 11}, Count: short, DurationMS: 120 * short, Tokens: 1800 * short, SlowFirstTokens: 0.1 * short},
		{Key: lengthstats.Key{Service: "s", Route: "manifest", Bucket: 13}, Count: long, DurationMS: 1600 * long, Tokens: 6600 * long},
	}}
}

// newGroupingPlanner returns a planner that groups runners by length, and a number of
// runners of equal weight in region north.
func newGroupingPlanner(runners int) (*Planner, []Runner) {
	var listed []Runner
	for index := range runners {
		listed = append(listed, Runner{ID: ids.RunnerID(fmt.Sprint("i", index)), Service: "s", Version: "v", Region: "north", Ready: true})
	}
	planner := New(Options{GroupByLength: true, Window: time.Second, Interval: time.Second, TicksPerPlan: 1})
	for _, runner := range listed {
		planner.runnerPlans[runner.ID] = RunnerPlan{Runner: runner.ID, RateLimit: 10, Weight: 10}
	}
	return planner, listed
}

func countClasses(plan Plan) (short int, long int) {
	for _, planned := range plan.Runners {
		if planned.Group == lengthstats.Short {
			short++
		}
		if planned.Group == lengthstats.Long {
			long++
		}
	}
	return short, long
}

func TestGroupByLength_classesGetWorkShare(t *testing.T) {
	planner, listed := newGroupingPlanner(20)
	planner.AddReport(lengthReport("north", 300, 70))
	plan := planner.buildPlan(listed)
	short, long := countClasses(plan)
	// Short requests have 540,000 of 1,002,000 tokens; their share of the runners is
	// 1.2 times that.
	if short != 13 || long != 7 {
		t.Fatalf("%d runners for short requests, %d for long ones", short, long)
	}
	if len(plan.Lengths) != 1 || len(plan.Lengths[0].Splits) != 1 || len(plan.Lengths[0].Expected) != 2 {
		t.Fatalf("lengths %+v, want one split and two expectations in one region", plan.Lengths)
	}
	before := map[ids.RunnerID]lengthstats.Class{}
	for _, planned := range plan.Runners {
		before[planned.Runner] = planned.Group
	}
	moved := 0
	planner.AddReport(lengthReport("north", 10, 1))
	for _, planned := range planner.buildPlan(listed[1:]).Runners {
		if before[planned.Runner] != planned.Group {
			moved++
		}
	}
	if moved > 1 {
		t.Fatalf("%d runners changed their class when one was removed", moved)
	}
}

func TestGroupByLength_notGrouped(t *testing.T) {
	cases := map[string]func() (*Planner, []Runner){
		"few runners": func() (*Planner, []Runner) {
			planner, listed := newGroupingPlanner(3)
			planner.AddReport(lengthReport("north", 300, 70))
			return planner, listed
		},
		"another region's requests": func() (*Planner, []Runner) {
			planner, listed := newGroupingPlanner(20)
			planner.AddReport(lengthReport("south", 300, 70))
			return planner, listed
		},
		"no requests": func() (*Planner, []Runner) { return newGroupingPlanner(20) },
		"disabled": func() (*Planner, []Runner) {
			planner, listed := newGroupingPlanner(20)
			planner.options.GroupByLength = false
			planner.AddReport(lengthReport("north", 300, 70))
			return planner, listed
		},
	}
	for name, setUp := range cases {
		t.Run(name, func(t *testing.T) {
			planner, listed := setUp()
			if short, long := countClasses(planner.buildPlan(listed)); short+long != 0 {
				t.Errorf("%d runners in the short group, %d in the long group, want none", short, long)
			}
		})
	}
}

func TestAssignClasses_noClassIsEmpty(t *testing.T) {
	for _, shortShare := range []float64{0, 0.001, 0.5, 0.999, 2} {
		var pool []*RunnerPlan
		for index := range 4 {
			pool = append(pool, &RunnerPlan{Runner: ids.RunnerID(fmt.Sprint(index)), Weight: 1})
		}
		assignClasses(pool, shortShare)
		short := 0
		for _, planned := range pool {
			if planned.Group == lengthstats.Short {
				short++
			}
		}
		if short == 0 || short == 4 {
			t.Errorf("share %v: %d of 4 runners for short requests", shortShare, short)
		}
	}
}
