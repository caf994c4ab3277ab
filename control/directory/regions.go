package directory

import (
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/membership"
)

// regionTracker records which regions are lost. A region without a ready router
// becomes lost on evidence of a failure, or when it has had none for longer than a
// timeout, and stays lost until it has one again. The zero value is ready to use,
// and safe for concurrent use.
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
// it is lost. The region becomes lost if there is evidence of a failure or if it
// has had no ready router for longer than timeout.
func (r *regionTracker) markUnready(region ids.Region, now clock.Instant, evidence bool, timeout time.Duration) (lost bool) {
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
func (r *regionTracker) isLost(region ids.Region) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.states[region]
	return state != nil && state.lost
}

// isLost marks a region as unready and reports whether it is lost. Evidence of a
// failure is a daemon in the region that stopped answering, or a degraded router
// there. A region that has no zone in the deployment counts as lost.
func (d *Directory) isLost(region ids.Region, degraded []endpoint, now clock.Instant) bool {
	if !d.isDeployed(region) {
		return true
	}
	evidence := d.hasUnresponsiveMember(region) || anyInRegion(region, degraded)
	return d.regions.markUnready(region, now, evidence, d.LossTimeout)
}

// isDeployed reports whether the region contains a zone of the deployment.
func (d *Directory) isDeployed(region ids.Region) bool {
	for _, deployed := range d.Zones {
		if deployed == region {
			return true
		}
	}
	return false
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
	if len(addresses) > 0 && d.isDeployed(req.Region) && !d.regions.isLost(req.Region) {
		d.Monitor.Violated(invariant.RegionFailover, "clients of zone %s in region %s are redirected to %v, but the region is not lost", req.Zone, req.Region, addresses)
	}
}
