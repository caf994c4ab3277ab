package directory

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/membership"
)

// regionTracker remembers of each region when it last had an able router, and whether
// it was lost since. The zero value is ready.
type regionTracker struct {
	mu     sync.Mutex
	states map[ids.Region]*regionState
}

type regionState struct {
	// ableAt is when it last had an able router, or was first asked for.
	ableAt clock.Instant
	lost   bool
}

func (r *regionTracker) state(name ids.Region, now clock.Instant) *regionState {
	if r.states == nil {
		r.states = map[ids.Region]*regionState{}
	}
	if r.states[name] == nil {
		r.states[name] = &regionState{ableAt: now}
	}
	return r.states[name]
}

// markAble notes that a region has an able router now.
func (r *regionTracker) markAble(name ids.Region, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.state(name, now)
	known.ableAt, known.lost = now, false
}

// isLost tells whether a region without able routers is known to be lost: some of
// its daemons answer no more, its routers reach no runners, or it has had no
// able router for longer than the patience. That stands until it has one again.
// A place that is no region of the deployment is as good as lost.
func (d *Directory) isLost(name ids.Region, unable []endpoint, now clock.Instant) bool {
	if !d.isDeployed(name) {
		return true
	}
	d.regions.mu.Lock()
	defer d.regions.mu.Unlock()
	known := d.regions.state(name, now)
	if now.Since(known.ableAt) > d.LossTimeout || d.hasSilentDaemon(name) || anyInRegion(name, unable) {
		known.lost = true
	}
	return known.lost
}

// isDeployed tells whether a region is one of the deployment's.
func (d *Directory) isDeployed(name ids.Region) bool {
	for _, known := range d.Zones {
		if known == name {
			return true
		}
	}
	return false
}

// hasSilentDaemon tells whether a daemon of a region ceased to answer lately, without
// having left in order. Members that a restarted daemon knows from its disk alone
// did not cease to answer: they were not asked yet.
func (d *Directory) hasSilentDaemon(name ids.Region) bool {
	for _, member := range d.Membership.Members() {
		if member.Restored() {
			continue
		}
		gone := member.State == membership.Removed && d.Membership.StateAge(member.Address) <= d.LossTimeout
		if member.Region == name && (member.State == membership.Suspect || gone) {
			return true
		}
	}
	return false
}

func anyInRegion(name ids.Region, places []endpoint) bool {
	for _, found := range places {
		if found.region == name {
			return true
		}
	}
	return false
}

// checkRedirect counts an answer that leads clients out of a region that was not lost.
func (d *Directory) checkRedirect(asked LookupRequest, chosen []ids.Address, now clock.Instant) {
	d.regions.mu.Lock()
	lost := d.regions.state(asked.Region, now).lost
	d.regions.mu.Unlock()
	if len(chosen) > 0 && !lost && d.isDeployed(asked.Region) {
		d.Monitor.Violated(invariant.LedAway, "clients of %s in %s are led to %v", asked.Zone, asked.Region, chosen)
	}
}
