package autoscaler

import (
	"fmt"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/planning/lengthstats"
)

// learnt is a report of answers of two kinds, so many a second of each.
func learnt(region ids.Region, short float64, long float64) ReportAsk {
	return ReportAsk{Region: region, Lengths: []lengthstats.Sum{
		{Kind: lengthstats.Kind{Service: "s", Route: "check", Bucket: 11}, Count: short, SpentMS: 120 * short, Tokens: 1800 * short, Slow: 0.1 * short},
		{Kind: lengthstats.Kind{Service: "s", Route: "manifest", Bucket: 13}, Count: long, SpentMS: 1600 * long, Tokens: 6600 * long},
	}}
}

func grouping(runners int) (*Scaler, []Listed) {
	var listed []Listed
	for index := range runners {
		listed = append(listed, Listed{ID: ids.RunnerID(fmt.Sprint("i", index)), Service: "s", Version: "v", Region: "north", Ready: true})
	}
	made := New(Options{Grouping: true, Window: clock.Second, Step: clock.Second, Pace: 1})
	for _, runner := range listed {
		made.last[runner.ID] = RunnerPlan{Runner: runner.ID, Limit: 10, Weight: 10}
	}
	return made, listed
}

func classes(plan Plan) (short int, long int) {
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

func TestClassesGetTheirPartOfTheWork(t *testing.T) {
	made, listed := grouping(20)
	made.Take(learnt("north", 300, 70))
	plan := made.Plan(listed)
	short, long := classes(plan)
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
	made.Take(learnt("north", 10, 1))
	for _, planned := range made.Plan(listed[1:]).Runners {
		if before[planned.Runner] != planned.Group {
			moved++
		}
	}
	if moved > 1 {
		t.Fatalf("%d runners changed their class since one is gone", moved)
	}
}

func TestNothingToTellApartIsNotGrouped(t *testing.T) {
	cases := map[string]func() (*Scaler, []Listed){
		"few runners": func() (*Scaler, []Listed) {
			made, listed := grouping(3)
			made.Take(learnt("north", 300, 70))
			return made, listed
		},
		"another region's answers": func() (*Scaler, []Listed) {
			made, listed := grouping(20)
			made.Take(learnt("south", 300, 70))
			return made, listed
		},
		"no answers": func() (*Scaler, []Listed) { return grouping(20) },
		"switched off": func() (*Scaler, []Listed) {
			made, listed := grouping(20)
			made.options.Grouping = false
			made.Take(learnt("north", 300, 70))
			return made, listed
		},
	}
	for name, make := range cases {
		made, listed := make()
		if short, long := classes(made.Plan(listed)); short+long != 0 {
			t.Errorf("%s: %d and %d runners are grouped", name, short, long)
		}
	}
}

func TestEachClassKeepsARunner(t *testing.T) {
	for _, part := range []float64{0, 0.001, 0.5, 0.999, 2} {
		var pool []*RunnerPlan
		for index := range 4 {
			pool = append(pool, &RunnerPlan{Runner: ids.RunnerID(fmt.Sprint(index)), Weight: 1})
		}
		assign(pool, part)
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
