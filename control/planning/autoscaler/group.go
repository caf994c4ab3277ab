package autoscaler

import (
	"cmp"
	"hash/fnv"
	"slices"

	"onyxwell/base/ids"
	"onyxwell/control/planning/lengthstats"
)

const (
	// minGroupedRunners is the minimum number of a service's runners in a region for
	// which they are grouped.
	minGroupedRunners = 4
	// shortClassMargin is the ratio of the short class's share of the runners to its
	// share of the work. It is above 1 because short requests must not queue.
	shortClassMargin = 1.2
	// maxShortShare bounds the short class's share of the runners.
	maxShortShare = 0.8
	// minGroupWeight is the minimum weight of a runner when shares are computed.
	minGroupWeight = 1e-9
)

// recordLengths adds the request durations of a report to the estimator of its region.
func (p *Planner) recordLengths(report ReportRequest) {
	estimator := p.lengths[report.Region]
	if estimator == nil {
		estimator = &lengthstats.Estimator{}
		p.lengths[report.Region] = estimator
	}
	estimator.Add(report.Lengths)
}

// groupByLength splits the requests of each service in each region into short and long
// ones, and assigns each class a share of the runners that follows its share of the
// work. It does not change weights.
func (p *Planner) groupByLength(plan *Plan, listed []Runner) {
	if !p.options.GroupByLength {
		return
	}
	runners := map[ids.RunnerID]Runner{}
	for _, runner := range listed {
		runners[runner.ID] = runner
	}
	for _, region := range sortedKeys(p.lengths) {
		estimator := p.lengths[region]
		lengths := RegionLengths{Region: region, Expected: estimator.Expectations()}
		services := map[ids.Service][]*RunnerPlan{}
		for index := range plan.Runners {
			planned := &plan.Runners[index]
			if runner := runners[planned.Runner]; runner.Region == region {
				services[runner.Service] = append(services[runner.Service], planned)
			}
		}
		for _, service := range sortedKeys(services) {
			split, ok := estimator.UpdateSplit(service)
			if ok && len(services[service]) >= minGroupedRunners {
				lengths.Splits = append(lengths.Splits, split)
				assignClasses(services[service], min(maxShortShare, shortClassMargin*split.ShortWorkShare))
			}
		}
		plan.Lengths = append(plan.Lengths, lengths)
	}
}

// assignClasses assigns runners to the short class until their share of the total
// weight reaches shortShare, and the others to the long class. Of two or more runners,
// each class gets at least one. It sorts the pool by a hash of the runner's ID, so that
// adding or removing a runner hardly changes the classes of the others.
func assignClasses(pool []*RunnerPlan, shortShare float64) {
	slices.SortFunc(pool, func(left, right *RunnerPlan) int {
		return cmp.Or(cmp.Compare(hashRunner(left.Runner), hashRunner(right.Runner)), cmp.Compare(left.Runner, right.Runner))
	})
	total, short := 0.0, 0.0
	for _, planned := range pool {
		total += max(planned.Weight, minGroupWeight)
	}
	for index, planned := range pool {
		planned.Group = lengthstats.Long
		if index == 0 || (index < len(pool)-1 && short+planned.Weight/2 < shortShare*total) {
			planned.Group = lengthstats.Short
			short += max(planned.Weight, minGroupWeight)
		}
	}
}

// hashRunner returns a 63-bit hash of a runner's ID.
func hashRunner(id ids.RunnerID) uint64 {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(id))
	return digest.Sum64() >> 1
}
