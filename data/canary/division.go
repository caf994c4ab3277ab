package canary

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/rollout"
	"onyxwell/data/snapshot"
)

// routerSplit is how a router splits the traffic of a service under its current permits: first
// the shares of the load test, then the split between the old versions and the target version.
type routerSplit struct {
	byVersion rollout.TrafficSplit
	// loadedTarget and loadedOld are the runners of the load test, empty if there is none;
	// loadedTargetShare and loadedOldShare are the shares of this router's requests that go to
	// them.
	loadedTarget, loadedOld           ids.RunnerID
	loadedTargetShare, loadedOldShare float64
	// snap, permit and loadPermit are the inputs that the split was computed from.
	snap       *snapshot.Snapshot
	permit     rollout.Permit
	loadPermit rollout.Permit
}

// milliPerUnit is the number of thousandths in one; permits hold shares in thousandths.
const milliPerUnit = 1000

// loadedRunner returns the runner of a load-test arm, empty for the other arms.
func (s *routerSplit) loadedRunner(arm Arm) ids.RunnerID {
	switch arm {
	case LoadedTarget:
		return s.loadedTarget
	case LoadedOld:
		return s.loadedOld
	}
	return ""
}

// splitOf returns the split under the current permits, and computes it only if the snapshot or
// a permit has changed. The caller holds g.mu.
func (g *Gate) splitOf(state *rolloutState, snap *snapshot.Snapshot, service ids.Service, now clock.Instant) *routerSplit {
	permit, loadPermit := state.permit, rollout.Permit{}
	permit.TTLMS = 0
	if state.hasLoadPermit(now) {
		loadPermit = state.loadPermit
		loadPermit.TTLMS = 0
	}
	if state.split.snap != snap || state.split.permit != permit || state.split.loadPermit != loadPermit {
		state.split = g.computeSplit(state, snap, service, permit, loadPermit)
	}
	return &state.split
}

func (g *Gate) computeSplit(state *rolloutState, snap *snapshot.Snapshot, service ids.Service, permit, loadPermit rollout.Permit) routerSplit {
	var runners []rollout.Runner
	for _, runner := range snap.Runners[service] {
		if snap.Available(runner) {
			runners = append(runners, rollout.Runner{ID: runner.ID, Region: runner.Region, Version: runner.Version, Slots: runner.Capacity})
		}
	}
	split := routerSplit{snap: snap, permit: permit, loadPermit: loadPermit}
	groups := snap.Versions[service].Group(runners)
	if pair, ok := rollout.SelectLoadTestPair(groups, state.order); ok && loadPermit.Order == state.order {
		split.applyLoadPair(pair, g.options.Region)
	}
	split.byVersion = rollout.NewTrafficSplit(groups, rollout.SplitSpec{
		Order: state.order, RunnerFraction: float64(permit.RunnersMilli) / milliPerUnit, LoadFactor: float64(permit.LoadMilli) / milliPerUnit,
		Full: state.isFull(), LoadTestTarget: split.loadedTarget,
	})
	return split
}

// applyLoadPair sends a share of this router's requests to the two runners of the load test.
// The old one gets none if the share is above rollout.MaxBaselineShare.
func (s *routerSplit) applyLoadPair(pair rollout.LoadTestPair, region ids.Region) {
	shareMilli := s.loadPermit.RunnersMilli
	if pair.Target.Region == region {
		shareMilli = s.loadPermit.LoadMilli
	}
	s.loadedTarget, s.loadedTargetShare = pair.Target.ID, float64(shareMilli)/milliPerUnit
	if pair.Old.ID != "" && s.loadedTargetShare <= rollout.MaxBaselineShare {
		s.loadedOld, s.loadedOldShare = pair.Old.ID, float64(shareMilli)/milliPerUnit
	}
}
