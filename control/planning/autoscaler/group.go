package autoscaler

import (
	"hash/fnv"
	"slices"
	"strings"

	"onyxwell/base/ids"
	"onyxwell/control/planning/lengthstats"
)

const (
	// minGroupedRunners is how many runners a region must have to be grouped.
	minGroupedRunners = 4
	// shortClassMargin is by how much more than its part of the work the short class gets:
	// it is the one that must not wait.
	shortClassMargin = 1.2
)

// recordLengths adds a report's answers to what is known of its region.
func (p *Planner) recordLengths(report ReportRequest) {
	known := p.lengths[report.Region]
	if known == nil {
		known = &lengthstats.Estimator{}
		p.lengths[report.Region] = known
	}
	known.Add(report.Lengths)
}

// groupByLength cuts each region's answers into short and long ones and gives each class
// a part of the runners whose weights are its part of the work. Weights stay as
// they are: within a class requests are shared out by the ceilings.
func (p *Planner) groupByLength(plan *Plan, listed []Runner) {
	if !p.options.GroupByLength {
		return
	}
	places := map[ids.RunnerID]Runner{}
	for _, runner := range listed {
		places[runner.ID] = runner
	}
	for _, region := range sortedKeys(p.lengths) {
		known := p.lengths[region]
		told := RegionLengths{Region: region, Expected: known.Expectations()}
		pools := map[ids.Service][]*RunnerPlan{}
		for index := range plan.Runners {
			planned := &plan.Runners[index]
			if place := places[planned.Runner]; place.Region == region {
				pools[place.Service] = append(pools[place.Service], planned)
			}
		}
		for _, service := range sortedKeys(pools) {
			split, apart := known.Split(service)
			if apart && len(pools[service]) >= minGroupedRunners {
				told.Splits = append(told.Splits, split)
				assignClasses(pools[service], min(0.8, shortClassMargin*split.ShortWorkShare))
			}
		}
		plan.Lengths = append(plan.Lengths, told)
	}
}

// assignClasses gives the first runners, in an order that does not change, to the short
// class until their weights are its part; each class has at least one.
func assignClasses(pool []*RunnerPlan, part float64) {
	slices.SortFunc(pool, func(left, right *RunnerPlan) int {
		if order := int64(hashRunner(left.Runner)>>1) - int64(hashRunner(right.Runner)>>1); order != 0 {
			return map[bool]int{true: 1, false: -1}[order > 0]
		}
		return strings.Compare(string(left.Runner), string(right.Runner))
	})
	total, given := 0.0, 0.0
	for _, planned := range pool {
		total += max(planned.Weight, 1e-9)
	}
	for index, planned := range pool {
		planned.Group = lengthstats.Long
		if index == 0 || (index < len(pool)-1 && given+planned.Weight/2 < part*total) {
			planned.Group = lengthstats.Short
			given += max(planned.Weight, 1e-9)
		}
	}
}

func hashRunner(id ids.RunnerID) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(id))
	return digest.Sum64()
}
