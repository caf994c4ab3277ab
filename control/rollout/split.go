package rollout

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strconv"

	"onyxwell/base/ids"
)

// Runner is a runner that may get requests, as far as a rollout needs to know it.
type Runner struct {
	ID      ids.RunnerID
	Region  ids.Region
	Version string
	// Slots is how many requests it runs at once.
	Slots int64
}

// SplitSpec specifies how the traffic of a service is to be split between versions.
type SplitSpec struct {
	Order int64
	// RunnerFraction is the fraction of the target version's runners that get requests.
	// LoadFactor is the load of each, relative to that of an old runner. If Full is set, the
	// target version gets everything.
	RunnerFraction, LoadFactor float64
	Full                       bool
	// LoadTestTarget is the load test's runner of the target version, empty if there is none.
	// It gets only the requests of the load test.
	LoadTestTarget ids.RunnerID
}

// TrafficSplit is how the traffic of a service is split under a permit.
type TrafficSplit struct {
	// Active holds the runners of the target version that get requests.
	Active map[ids.RunnerID]bool
	// Share is the share of a region's requests that goes to them.
	Share map[ids.Region]float64
}

// NewTrafficSplit splits the traffic of a service between the groups of its runners. Each
// active runner gets the spec's load factor times the load of an old one. The result depends
// only on the arguments, so every router with the same list of runners splits the traffic
// alike.
func NewTrafficSplit(groups Groups, spec SplitSpec) TrafficSplit {
	old, targets := byRegion(groups.Old), map[ids.Region][]Runner{}
	split := TrafficSplit{Active: map[ids.RunnerID]bool{}, Share: map[ids.Region]float64{}}
	for _, runner := range groups.Target {
		if runner.ID != spec.LoadTestTarget {
			targets[runner.Region] = append(targets[runner.Region], runner)
		}
	}
	active := map[ids.Region]int{}
	for _, runner := range activeRunners(targets, spec) {
		split.Active[runner.ID] = true
		active[runner.Region]++
	}
	for region, count := range active {
		split.Share[region] = 1
		if !spec.Full && len(old[region]) > 0 {
			split.Share[region] = min(1, spec.LoadFactor*float64(count)/float64(len(old[region])))
		}
	}
	return split
}

// MeanShare returns the share of all requests that goes to the target version, if each region
// has equally many requests.
func (s TrafficSplit) MeanShare(regions int) float64 {
	total := 0.0
	for _, share := range s.Share {
		total += share
	}
	return total / float64(max(1, regions))
}

// rankedRunner is a runner with its rank within its region, from 0 to 1.
type rankedRunner struct {
	Runner
	rank float64
	hash uint64
}

// activeRunners returns the runners of the target version that are active, at least one. The
// order alternates between regions and differs from rollout to rollout.
func activeRunners(runners map[ids.Region][]Runner, spec SplitSpec) []rankedRunner {
	all := rankRunners(runners, spec.Order)
	if spec.Full {
		return all
	}
	count := max(1, int(math.Round(spec.RunnerFraction*float64(len(all)))))
	return all[:min(count, len(all))]
}

func rankRunners(runners map[ids.Region][]Runner, order int64) []rankedRunner {
	var all []rankedRunner
	for _, region := range slices.Sorted(maps.Keys(runners)) {
		all = append(all, rankRegion(runners[region], order)...)
	}
	slices.SortFunc(all, func(a, b rankedRunner) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
	return all
}

func rankRegion(runners []Runner, order int64) []rankedRunner {
	var ranked []rankedRunner
	for _, runner := range runners {
		digest := fnv.New64a()
		_, _ = digest.Write([]byte(strconv.FormatInt(order, 10) + "/" + string(runner.ID)))
		ranked = append(ranked, rankedRunner{Runner: runner, hash: digest.Sum64()})
	}
	slices.SortFunc(ranked, func(a, b rankedRunner) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID)) })
	for position := range ranked {
		ranked[position].rank = (float64(position) + 0.5) / float64(len(ranked))
	}
	return ranked
}
