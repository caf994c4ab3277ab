package autoscaler

import (
	"hash/fnv"
	"slices"
	"strings"

	"onyxwell/base/ids"
	"onyxwell/control/planning/lengthstats"
)

const (
	// fewestGrouped is how many runners a region must have to be grouped.
	fewestGrouped = 4
	// shortClassMargin is by how much more than its part of the work the short class gets:
	// it is the one that must not wait.
	shortClassMargin = 1.2
)

// learnLengths adds a report's answers to what is known of its region.
func (s *Scaler) learnLengths(report ReportAsk) {
	known := s.lengths[report.Region]
	if known == nil {
		known = &lengthstats.Estimator{}
		s.lengths[report.Region] = known
	}
	known.Take(report.Lengths)
}

// group cuts each region's answers into short and long ones and gives each class
// a part of the runners whose weights are its part of the work. Weights stay as
// they are: within a class requests are shared out by the ceilings.
func (s *Scaler) group(plan *Plan, listed []Listed) {
	if !s.options.Grouping {
		return
	}
	places := map[ids.RunnerID]Listed{}
	for _, runner := range listed {
		places[runner.ID] = runner
	}
	for _, region := range sortedKeys(s.lengths) {
		known := s.lengths[region]
		told := RegionLengths{Region: region, Expected: known.Expect()}
		pools := map[ids.Service][]*RunnerPlan{}
		for index := range plan.Runners {
			planned := &plan.Runners[index]
			if place := places[planned.Runner]; place.Region == region {
				pools[place.Service] = append(pools[place.Service], planned)
			}
		}
		for _, service := range sortedKeys(pools) {
			split, apart := known.Split(service)
			if apart && len(pools[service]) >= fewestGrouped {
				told.Splits = append(told.Splits, split)
				assign(pools[service], min(0.8, shortClassMargin*split.ShortPart))
			}
		}
		plan.Lengths = append(plan.Lengths, told)
	}
}

// assign gives the first runners, in an order that does not change, to the short
// class until their weights are its part; each class has at least one.
func assign(pool []*RunnerPlan, part float64) {
	slices.SortFunc(pool, func(left, right *RunnerPlan) int {
		if order := int64(placeOf(left.Runner)>>1) - int64(placeOf(right.Runner)>>1); order != 0 {
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

func placeOf(id ids.RunnerID) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(id))
	return digest.Sum64()
}
