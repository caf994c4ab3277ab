package directory

import (
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/membership"
)

// regionTracker keeps which regions are lost. A region becomes lost on evidence,
// or after too long without a ready router, and stays so until it has one again.
// The zero value is ready, and safe for concurrent use.
type regionTracker struct {
	mu     sync.Mutex
	states map[ids.Region]*regionState
}

type regionState struct {
	// readyAt is when the region last had a ready router, or was first looked up.
	readyAt clock.Instant
	lost    bool
}

// state gives a region's state, and begins it where there is none. r.mu must be
// held.
func (r *regionTracker) state(region ids.Region, now clock.Instant) *regionState {
	if r.states == nil {
		r.states = map[ids.Region]*regionState{}
	}
	if r.states[region] == nil {
		r.states[region] = &regionState{readyAt: now}
	}
	return r.states[region]
}

// markReady records that a region has a ready router now.
func (r *regionTracker) markReady(region ids.Region, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.state(region, now)
	state.readyAt, state.lost = now, false
}

// markUnready records that a region has no ready router now, and reports whether
// it is lost: on evidence, or for having had none for longer than timeout.
func (r *regionTracker) markUnready(region ids.Region, now clock.Instant, evidence bool, timeout time.Duration) (lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.state(region, now)
	if evidence || now.Since(state.readyAt) > timeout {
		state.lost = true
	}
	return state.lost
}

// isLost reports whether a region was lost when it was last marked.
func (r *regionTracker) isLost(region ids.Region) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.states[region]
	return state != nil && state.lost
}

// isLost reports whether a region without a ready router is lost. Evidence is a
// daemon there that stopped answering, or a router that reaches no runners. A
// region that is not deployed is as good as lost.
func (d *Directory) isLost(region ids.Region, degraded []endpoint, now clock.Instant) bool {
	if !d.isDeployed(region) {
		return true
	}
	evidence := d.hasUnresponsiveMember(region) || anyInRegion(region, degraded)
	return d.regions.markUnready(region, now, evidence, d.LossTimeout)
}

// isDeployed reports whether any zone of the deployment is in the region.
func (d *Directory) isDeployed(region ids.Region) bool {
	for _, deployed := range d.Zones {
		if deployed == region {
			return true
		}
	}
	return false
}

// hasUnresponsiveMember reports whether a daemon of the region stopped answering no
// longer than LossTimeout ago without having left gracefully. A member that a
// restarted daemon restored from its disk is no evidence: it was not probed yet.
func (d *Directory) hasUnresponsiveMember(region ids.Region) bool {
	for _, member := range d.Membership.Members() {
		if member.Restored() {
			continue
		}
		removed := member.State == membership.Removed && d.Membership.StateAge(member.Address) <= d.LossTimeout
		if member.Region == region && (member.State == membership.Suspect || removed) {
			return true
		}
	}
	return false
}

// checkRedirect counts a redirect out of a region that is not lost as a violated
// invariant.
func (d *Directory) checkRedirect(req LookupRequest, addresses []ids.Address) {
	if len(addresses) > 0 && d.isDeployed(req.Region) && !d.regions.isLost(req.Region) {
		d.Monitor.Violated(invariant.RegionFailover, "clients of %s in %s are led to %v", req.Zone, req.Region, addresses)
	}
}
