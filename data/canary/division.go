package canary

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/rollout"
	"onyxwell/data/snapshot"
)

// trafficSplit is how a router divides the traffic of a service under its present permits.
type trafficSplit struct {
	spread rollout.Spread
	// loadedTarget and loadedOld are the pair under load, empty where there is none; loadedPart
	// and loadedOldPart are the parts of this router's requests that go there.
	loadedTarget, loadedOld           ids.RunnerID
	loadedTargetShare, loadedOldShare float64
	// It was made for these.
	snap       *snapshot.Snapshot
	permit     rollout.Permit
	loadPermit rollout.Permit
}

// milliPerUnit is the number of thousandths in one.
const milliPerUnit = 1000

// loadedRunner returns the runner of an arm under load, empty for other arms.
func (s *trafficSplit) loadedRunner(arm Arm) ids.RunnerID {
	switch arm {
	case LoadedTarget:
		return s.loadedTarget
	case LoadedOld:
		return s.loadedOld
	}
	return ""
}

// splitOf returns how the traffic is divided under the present permits. The caller holds
// g.mu.
func (g *Gate) splitOf(state *rolloutState, snap *snapshot.Snapshot, service ids.Service, now clock.Instant) *trafficSplit {
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

func (g *Gate) computeSplit(state *rolloutState, snap *snapshot.Snapshot, service ids.Service, permit, loadPermit rollout.Permit) trafficSplit {
	var runners []rollout.Runner
	for _, runner := range snap.Runners[service] {
		if snap.Available(runner) {
			runners = append(runners, rollout.Runner{ID: runner.ID, Region: runner.Region, Version: runner.Version, Slots: runner.Capacity})
		}
	}
	split := trafficSplit{snap: snap, permit: permit, loadPermit: loadPermit}
	target := snap.Rollouts[service].Target
	if pair, ok := rollout.NewLoadPair(runners, target, state.order); ok && loadPermit.Order == state.order {
		split.applyLoadPair(pair, g.options.Region)
	}
	split.spread = rollout.NewSpread(runners, rollout.Division{
		Target: target, Order: state.order, Part: float64(permit.RunnersMilli) / milliPerUnit, Load: float64(permit.LoadMilli) / milliPerUnit,
		Full: state.isFull(), LoadedTarget: split.loadedTarget, LoadedOld: split.loadedOld,
	})
	return split
}

// applyLoadPair has a part of this router's requests go to the pair under load.
func (s *trafficSplit) applyLoadPair(pair rollout.LoadPair, region ids.Region) {
	shareMilli := s.loadPermit.RunnersMilli
	if pair.Target.Region == region {
		shareMilli = s.loadPermit.LoadMilli
	}
	s.loadedTarget, s.loadedTargetShare = pair.Target.ID, float64(shareMilli)/milliPerUnit
	if pair.Old.ID != "" && s.loadedTargetShare <= rollout.MaxControlShare {
		s.loadedOld, s.loadedOldShare = pair.Old.ID, float64(shareMilli)/milliPerUnit
	}
}
