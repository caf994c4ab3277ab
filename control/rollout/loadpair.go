package rollout

import "onyxwell/base/ids"

// LoadTestPair is a runner of the target version, and one of the old version beside it, that get
// as many requests as a runner may: what a version shows only under load is to show there.
type LoadTestPair struct {
	Target Runner
	// Old is the control; its ID is empty where the region has no old runner to spare.
	Old Runner
}

// minOldForBaseline is how many old runners a region must have for one of them to serve as the
// control.
const minOldForBaseline = 2

// SelectLoadTestPair returns the pair of a rollout; ok is false where the target version has no
// runner to spare. All that have the same list choose alike.
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
	// The canary takes the first ones. Of the others, one beside many old runners: that region
	// has the requests.
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
