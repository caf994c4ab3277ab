package canary

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/rollout"
	"onyxwell/data/snapshot"
)

// division is how a router divides the traffic of a service under its present permits.
type division struct {
	spread rollout.TrafficSplit
	// loadedTarget and loadedOld are the pair under load, empty where there is none; loadedPart
	// and loadedOldPart are the parts of this router's requests that go there.
	loadedTarget, loadedOld   ids.RunnerID
	loadedPart, loadedOldPart float64
	// It was made for these.
	snap       *snapshot.Snapshot
	permit     rollout.Permit
	loadPermit rollout.Permit
}

// milli is the number of thousandths in one.
const milli = 1000

// loadedRunner returns the runner of an arm under load, empty for other arms.
func (d *division) loadedRunner(arm Arm) ids.RunnerID {
	switch arm {
	case LoadedTarget:
		return d.loadedTarget
	case LoadedOld:
		return d.loadedOld
	}
	return ""
}

// divisionOf returns how the traffic is divided under the present permits. The caller holds
// g.mu.
func (g *Gate) divisionOf(t *trial, snap *snapshot.Snapshot, service ids.Service, now clock.Instant) *division {
	permit, loadPermit := t.permit, rollout.Permit{}
	permit.TTLMS = 0
	if t.hasLoadPermit(now) {
		loadPermit = t.loadPermit
		loadPermit.TTLMS = 0
	}
	if t.division.snap != snap || t.division.permit != permit || t.division.loadPermit != loadPermit {
		t.division = g.divide(t, snap, service, permit, loadPermit)
	}
	return &t.division
}

func (g *Gate) divide(t *trial, snap *snapshot.Snapshot, service ids.Service, permit, loadPermit rollout.Permit) division {
	var runners []rollout.Runner
	for _, runner := range snap.Runners[service] {
		if snap.Available(runner) {
			runners = append(runners, rollout.Runner{ID: runner.ID, Region: runner.Region, Version: runner.Version, Slots: runner.Capacity})
		}
	}
	divided := division{snap: snap, permit: permit, loadPermit: loadPermit}
	target := snap.Rollouts[service].Target
	if pair, ok := rollout.SelectLoadTestPair(runners, target, t.order); ok && loadPermit.Order == t.order {
		divided.setPair(pair, g.options.Region)
	}
	divided.spread = rollout.NewTrafficSplit(runners, rollout.SplitSpec{
		Target: target, Order: t.order, RunnerFraction: float64(permit.RunnersMilli) / milli, LoadFactor: float64(permit.LoadMilli) / milli,
		Full: t.isFull(), LoadTestTarget: divided.loadedTarget, LoadTestOld: divided.loadedOld,
	})
	return divided
}

// setPair has a part of this router's requests go to the pair under load.
func (d *division) setPair(pair rollout.LoadTestPair, region ids.Region) {
	part := d.loadPermit.RunnersMilli
	if pair.Target.Region == region {
		part = d.loadPermit.LoadMilli
	}
	d.loadedTarget, d.loadedPart = pair.Target.ID, float64(part)/milli
	if pair.Old.ID != "" && d.loadedPart <= rollout.MaxBaselineShare {
		d.loadedOld, d.loadedOldPart = pair.Old.ID, float64(part)/milli
	}
}
