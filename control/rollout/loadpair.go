package rollout

import "onyxwell/base/ids"

// LoadTestPair is a runner of the target version and an old one in the same region. Each gets
// as many requests as a runner may, to find faults that show only under load.
type LoadTestPair struct {
	Target Runner
	// Old is the baseline; its ID is empty if the region has no old runner to spare.
	Old Runner
}

// minOldForBaseline is how many old runners a region needs for one of them to serve as the
// baseline.
const minOldForBaseline = 2

// SelectLoadTestPair returns the load test pair of a rollout; ok is false if the target version
// has no runner to spare. The result depends only on the arguments, so every router with the
// same list of runners selects the same pair.
func SelectLoadTestPair(groups Groups, order int64) (pair LoadTestPair, ok bool) {
	targets, old := byRegion(groups.Target), byRegion(groups.Old)
	ranked := rankRunners(targets, order)
	if len(ranked) < 2 {
		return LoadTestPair{}, false
	}
	// The canary takes runners from the start of the ranking. From the second half, select one in
	// the region with the most old runners, because that region has the most requests.
	chosen := ranked[len(ranked)-1]
	for _, candidate := range ranked[len(ranked)/2:] {
		if len(old[candidate.Region]) > len(old[chosen.Region]) {
			chosen = candidate
		}
	}
	pair.Target = chosen.Runner
	if oldRanked := rankRegion(old[chosen.Region], order); len(oldRanked) >= minOldForBaseline {
		pair.Old = oldRanked[0].Runner
	}
	return pair, true
}

func byRegion(runners []Runner) map[ids.Region][]Runner {
	regions := map[ids.Region][]Runner{}
	for _, runner := range runners {
		regions[runner.Region] = append(regions[runner.Region], runner)
	}
	return regions
}
