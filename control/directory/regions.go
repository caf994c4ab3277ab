package directory

import (
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/membership"
)

// regionTracker records which regions of the deployment are lost. A region without a
// ready router becomes lost on evidence of a failure, or when it has had none for longer
// than a timeout, and stays lost until it has one again. It has a state for each region
// of the deployment that was looked up, and for no other name, since names come from
// callers. The zero value is ready to use, and safe for concurrent use.
type regionTracker struct {
	mu     sync.Mutex
	states map[ids.Region]*regionState
}

// regionState is what regionTracker records of one region.
type regionState struct {
	// readyAt is when a look-up last found a ready router in the region, or when the
	// region was first looked up.
	readyAt clock.Instant
	lost    bool
}

// state returns a region's state, and creates it if there is none. r.mu must be
// held.
func (r *regionTracker) state(region deployedRegion, now clock.Instant) *regionState {
	if r.states == nil {
		r.states = map[ids.Region]*regionState{}
	}
	if r.states[region.name] == nil {
		r.states[region.name] = &regionState{readyAt: now}
	}
	return r.states[region.name]
}

// markReady records that a region has a ready router now.
func (r *regionTracker) markReady(region deployedRegion, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.state(region, now)
	state.readyAt, state.lost = now, false
}

// markUnready records that a region has no ready router now, and reports whether
// it is lost. The region becomes lost if there is evidence of a failure or if it
// has had no ready router for longer than timeout.
func (r *regionTracker) markUnready(region deployedRegion, now clock.Instant, evidence bool, timeout time.Duration) (lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.state(region, now)
	if evidence || now.Since(state.readyAt) > timeout {
		state.lost = true
	}
	return state.lost
}

// isLost reports whether a region was lost when it was last marked as ready or
// unready.
func (r *regionTracker) isLost(region deployedRegion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.states[region.name]
	return state != nil && state.lost
}

// deployedRegion is a region of the deployment. Its name is the deployment's own string,
// not one of a request, which would keep the whole request in memory.
type deployedRegion struct{ name ids.Region }

// findRegion returns the region that a client named, or false if it contains no zone of
// the deployment.
func (d *Directory) findRegion(name ids.Region) (deployedRegion, bool) {
	for _, region := range d.Zones {
		if region == name {
			return deployedRegion{name: region}, true
		}
	}
	return deployedRegion{}, false
}

// isLost marks a region as unready and reports whether it is lost. Evidence of a
// failure is a daemon in the region that stopped answering, or a degraded router
// there. A region that has no zone in the deployment counts as lost.
func (d *Directory) isLost(name ids.Region, degraded []endpoint, now clock.Instant) bool {
	region, ok := d.findRegion(name)
	if !ok {
		return true
	}
	evidence := d.hasUnresponsiveMember(region.name) || anyInRegion(region.name, degraded)
	return d.regions.markUnready(region, now, evidence, d.LossTimeout)
}

// hasUnresponsiveMember reports whether the region has a suspect member, or one that
// was removed no longer than LossTimeout ago; a member that left gracefully is
// neither. It ignores members that this daemon restored from its disk after a
// restart: they have not been probed yet.
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

// checkRedirect counts a redirect out of a deployed region that is not lost as an
// invariant violation.
func (d *Directory) checkRedirect(req LookupRequest, addresses []ids.Address) {
	region, deployed := d.findRegion(req.Region)
	if len(addresses) > 0 && deployed && !d.regions.isLost(region) {
		d.Monitor.Violated(invariant.RegionFailover, "clients in region %s are redirected to %v, but the region is not lost", region.name, addresses)
	}
}
