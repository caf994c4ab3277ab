package autoscaler

import (
	"fmt"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/planning/lengthstats"
)

// lengthReport is a report of answers of two kinds, so many a second of each.
func lengthReport(region ids.Region, short float64, long float64) ReportRequest {
	return ReportRequest{Region: region, Lengths: []lengthstats.Totals{
		{Key: lengthstats.Key{Service: "s", Route: "check", Bucket: 11}, Count: short, DurationMS: 120 * short, Tokens: 1800 * short, SlowFirstTokens: 0.1 * short},
		{Key: lengthstats.Key{Service: "s", Route: "manifest", Bucket: 13}, Count: long, DurationMS: 1600 * long, Tokens: 6600 * long},
	}}
}

func newGroupingPlanner(runners int) (*Planner, []Runner) {
	var listed []Runner
	for index := range runners {
		listed = append(listed, Runner{ID: ids.RunnerID(fmt.Sprint("i", index)), Service: "s", Version: "v", Region: "north", Ready: true})
	}
	made := New(Options{GroupByLength: true, Window: clock.Second, Interval: clock.Second, PlanEvery: 1})
	for _, runner := range listed {
		made.runnerPlans[runner.ID] = RunnerPlan{Runner: runner.ID, RateLimit: 10, Weight: 10}
	}
	return made, listed
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
	made, listed := newGroupingPlanner(20)
	made.AddReport(lengthReport("north", 300, 70))
	plan := made.Plan(listed)
	short, long := countClasses(plan)
	// 540,000 of 1,002,000 tokens are short ones', with a fifth more.
	if short != 13 || long != 7 {
		t.Fatalf("%d runners for short work, %d for long", short, long)
	}
	if len(plan.Lengths) != 1 || len(plan.Lengths[0].Splits) != 1 || len(plan.Lengths[0].Expected) != 2 {
		t.Fatalf("%+v", plan.Lengths)
	}
	before := map[ids.RunnerID]lengthstats.Class{}
	for _, planned := range plan.Runners {
		before[planned.Runner] = planned.Group
	}
	moved := 0
	made.AddReport(lengthReport("north", 10, 1))
	for _, planned := range made.Plan(listed[1:]).Runners {
		if before[planned.Runner] != planned.Group {
			moved++
		}
	}
	if moved > 1 {
		t.Fatalf("%d runners changed their class since one is gone", moved)
	}
}

func TestGroupByLength_notGrouped(t *testing.T) {
	cases := map[string]func() (*Planner, []Runner){
		"few runners": func() (*Planner, []Runner) {
			made, listed := newGroupingPlanner(3)
			made.AddReport(lengthReport("north", 300, 70))
			return made, listed
		},
		"another region's answers": func() (*Planner, []Runner) {
			made, listed := newGroupingPlanner(20)
			made.AddReport(lengthReport("south", 300, 70))
			return made, listed
		},
		"no answers": func() (*Planner, []Runner) { return newGroupingPlanner(20) },
		"switched off": func() (*Planner, []Runner) {
			made, listed := newGroupingPlanner(20)
			made.options.GroupByLength = false
			made.AddReport(lengthReport("north", 300, 70))
			return made, listed
		},
	}
	for name, make := range cases {
		made, listed := make()
		if short, long := countClasses(made.Plan(listed)); short+long != 0 {
			t.Errorf("%s: %d and %d runners are grouped", name, short, long)
		}
	}
}

func TestAssignClasses_eachKeepsRunner(t *testing.T) {
	for _, part := range []float64{0, 0.001, 0.5, 0.999, 2} {
		var pool []*RunnerPlan
		for index := range 4 {
			pool = append(pool, &RunnerPlan{Runner: ids.RunnerID(fmt.Sprint(index)), Weight: 1})
		}
		assignClasses(pool, part)
		short := 0
		for _, planned := range pool {
			if planned.Group == lengthstats.Short {
				short++
			}
		}
		if short == 0 || short == 4 {
			t.Errorf("part %v: %d of 4 runners for short work", part, short)
		}
	}
}
