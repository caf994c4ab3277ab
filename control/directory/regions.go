package directory

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/membership"
)

// regions remembers of each region when it last had an able router, and whether
// it was lost since. The zero value is ready.
type regions struct {
	mu   sync.Mutex
	seen map[ids.Region]*region
}

type region struct {
	// since is when it last had an able router, or was first asked for.
	since clock.Instant
	lost  bool
}

func (r *regions) of(name ids.Region, now clock.Instant) *region {
	if r.seen == nil {
		r.seen = map[ids.Region]*region{}
	}
	if r.seen[name] == nil {
		r.seen[name] = &region{since: now}
	}
	return r.seen[name]
}

// able notes that a region has an able router now.
func (r *regions) able(name ids.Region, now clock.Instant) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.of(name, now)
	known.since, known.lost = now, false
}

// lost tells whether a region without able routers is known to be lost: some of
// its daemons answer no more, its routers reach no runners, or it has had no
// able router for longer than the patience. That stands until it has one again.
// A place that is no region of the deployment is as good as lost.
func (d *Directory) lost(name ids.Region, unable []place, now clock.Instant) bool {
	if !d.served(name) {
		return true
	}
	d.regions.mu.Lock()
	defer d.regions.mu.Unlock()
	known := d.regions.of(name, now)
	if now.Since(known.since) > d.Patience || d.silent(name) || in(name, unable) {
		known.lost = true
	}
	return known.lost
}

// served tells whether a region is one of the deployment's.
func (d *Directory) served(name ids.Region) bool {
	for _, known := range d.Zones {
		if known == name {
			return true
		}
	}
	return false
}

// silent tells whether a daemon of a region ceased to answer lately, without
// having left in order.
func (d *Directory) silent(name ids.Region) bool {
	for _, member := range d.Table.Members() {
		gone := member.State == membership.Removed && d.Table.StateAge(member.Address) <= d.Patience
		if member.Region == name && (member.State == membership.Suspect || gone) {
			return true
		}
	}
	return false
}

func in(name ids.Region, places []place) bool {
	for _, found := range places {
		if found.region == name {
			return true
		}
	}
	return false
}

// watch counts an answer that leads clients out of a region that was not lost.
func (d *Directory) watch(asked Lookup, chosen []ids.Address, now clock.Instant) {
	d.regions.mu.Lock()
	lost := d.regions.of(asked.Region, now).lost
	d.regions.mu.Unlock()
	if len(chosen) > 0 && !lost && d.served(asked.Region) {
		d.Monitor.Violated(invariant.LedAway, "clients of %s in %s are led to %v", asked.Zone, asked.Region, chosen)
	}
}
