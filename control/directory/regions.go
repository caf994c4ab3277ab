package directory

import (
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/cohort"
)

// regions remembers of each region when it last had an able router, and whether
// it was lost since. The zero value is ready.
type regions struct {
	lock sync.Mutex
	seen map[ids.Region]*region
}

type region struct {
	// since is when it last had an able router, or was first asked for.
	since clock.Instant
	lost  bool
}

func (regions *regions) of(name ids.Region, now clock.Instant) *region {
	if regions.seen == nil {
		regions.seen = map[ids.Region]*region{}
	}
	if regions.seen[name] == nil {
		regions.seen[name] = &region{since: now}
	}
	return regions.seen[name]
}

// able notes that a region has an able router now.
func (regions *regions) able(name ids.Region, now clock.Instant) {
	regions.lock.Lock()
	defer regions.lock.Unlock()
	known := regions.of(name, now)
	known.since, known.lost = now, false
}

// lost tells whether a region without able routers is known to be lost: some of
// its daemons answer no more, its routers reach no runners, or it has had no
// able router for longer than the patience. That stands until it has one again.
// A place that is no region of the deployment is as good as lost.
func (directory *Directory) lost(name ids.Region, unable []place, now clock.Instant) bool {
	if !directory.served(name) {
		return true
	}
	directory.regions.lock.Lock()
	defer directory.regions.lock.Unlock()
	known := directory.regions.of(name, now)
	if now.Since(known.since) > directory.Patience || directory.silent(name) || in(name, unable) {
		known.lost = true
	}
	return known.lost
}

// served tells whether a region is one of the deployment's.
func (directory *Directory) served(name ids.Region) bool {
	for _, known := range directory.Zones {
		if known == name {
			return true
		}
	}
	return false
}

// silent tells whether a daemon of a region ceased to answer lately, without
// having left in order.
func (directory *Directory) silent(name ids.Region) bool {
	for _, member := range directory.Table.Members() {
		gone := member.State == cohort.Removed && directory.Table.Since(member.Address) <= directory.Patience
		if member.Region == name && (member.State == cohort.Suspect || gone) {
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
func (directory *Directory) watch(asked Lookup, chosen []ids.Address, now clock.Instant) {
	directory.regions.lock.Lock()
	lost := directory.regions.of(asked.Region, now).lost
	directory.regions.lock.Unlock()
	if len(chosen) > 0 && !lost && directory.served(asked.Region) {
		directory.Monitor.Violated(invariant.LedAway, "clients of %s in %s are led to %v", asked.Zone, asked.Region, chosen)
	}
}
