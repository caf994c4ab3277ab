package rollout

import "onyxwell/base/ids"

// LoadTestPair is a runner of the target version and one of the old version in the same
// region. Each gets as many requests as a runner may, to find faults that show only under
// load.
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
func SelectLoadTestPair(runners []Runner, target string, order int64) (pair LoadTestPair, ok bool) {
	targets, old := map[ids.Region][]Runner{}, map[ids.Region][]Runner{}
	for _, runner := range runners {
		if runner.Version == target {
			targets[runner.Region] = append(targets[runner.Region], runner)
		} else {
			old[runner.Region] = append(old[runner.Region], runner)
		}
	}
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
