// Package directory tells clients which routers to go to: those of their own
// zone where there are any, then those of their region, then all others.
package directory

import (
	"net/http"

	"onyxwell/base/call"
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/base/reply"
	"onyxwell/base/scope"
	"onyxwell/base/telemetry"
	"onyxwell/control/cohort"
	"onyxwell/control/zoneview"
)

// listLimit is how many addresses a client reads.
const listLimit = 64

// Lookup is GET /lookup.
type Lookup struct {
	Region ids.Region
	Zone   ids.Zone
}

// Read takes where the client is.
func (asked *Lookup) Read(incoming call.Incoming) error {
	query := incoming.Request.URL.Query()
	asked.Region, asked.Zone = ids.Region(query.Get("region")), ids.Zone(query.Get("zone"))
	return nil
}

// Found is the answer to a lookup.
type Found struct {
	Addresses []ids.Address `json:"addresses"`
	TTLS      float64       `json:"ttl_s"`
}

// Reply tells the addresses; an empty list is no answer.
func (told Found) Reply() reply.Reply {
	if len(told.Addresses) == 0 {
		return reply.Empty(http.StatusServiceUnavailable)
	}
	return reply.JSON(http.StatusOK, told)
}

// Directory answers from the members of its own zone that this daemon knows,
// and from what the relays of the other zones tell of theirs. It leads clients
// out of their region only where that is known to be lost (regions.go).
type Directory struct {
	Table *cohort.Table
	// Elsewhere gives the routers of the other zones that are in reach, and the
	// zones that are not.
	Elsewhere func() (reached []zoneview.Fronts, cut []ids.Zone)
	Zones     map[ids.Zone]ids.Region
	// Patience is how long a region may be without any able router, for no reason
	// that is known, before it counts as lost.
	Patience clock.Span
	// Metrics and Monitor may be left out.
	Metrics *telemetry.Metrics
	Monitor *invariant.Monitor
	regions regions
}

// place is a router that a client may go to.
type place struct {
	front  ids.Address
	zone   ids.Zone
	region ids.Region
}

// Serve adds the directory's call to a table.
func (directory *Directory) Serve(calls *call.Table) {
	call.Handle(calls, http.MethodGet, "/lookup", func(inner scope.Scope, asked Lookup) (Found, error) {
		return Found{Addresses: directory.Choose(asked), TTLS: min(1, inner.Boot.Bounds.TTLMaxS)}, nil
	})
}

// circle is a set of routers around a client.
type circle struct {
	name string
	has  func(place, Lookup) bool
}

// near are the circles that a client needs no reason for, the closest first.
var near = []circle{
	{"zone", func(router place, asked Lookup) bool { return router.zone == asked.Zone }},
	{"region", func(router place, asked Lookup) bool { return router.region == asked.Region }},
}

// away is the circle of all routers.
var away = circle{"away", func(place, Lookup) bool { return true }}

// noCircle is told of look-ups that get no answer.
const noCircle = "none"

// Choose picks the routers of the closest circle that has any. Those that reach
// no runners are passed over, unless there are no others. Where nobody near is
// able there is no answer, so that the client asks another directory or stays
// with what it has, unless its region is known to be lost: one whose routers
// start, leave in order or were not heard of yet is not.
func (directory *Directory) Choose(asked Lookup) []ids.Address {
	able, unable, cut := directory.all()
	now := directory.Table.Now()
	for _, circle := range near {
		if chosen := circle.of(able, asked); len(chosen) > 0 {
			directory.regions.able(asked.Region, now)
			return directory.tell(circle, chosen)
		}
	}
	if len(able) == 0 && !cut {
		// All are in reach, and none is better than those nearby.
		for _, circle := range near {
			if chosen := circle.of(unable, asked); len(chosen) > 0 {
				return directory.tell(circle, chosen)
			}
		}
		able = unable
	}
	if !directory.lost(asked.Region, unable, now) {
		return directory.tell(circle{name: noCircle}, nil)
	}
	chosen := away.of(able, asked)
	directory.watch(asked, chosen, now)
	if len(chosen) == 0 {
		return directory.tell(circle{name: noCircle}, nil)
	}
	return directory.tell(away, chosen)
}

func (directory *Directory) tell(circle circle, chosen []ids.Address) []ids.Address {
	directory.Metrics.Lookup(circle.name)
	return chosen
}

// of gives the fronts of the routers in the circle, as many as a client reads.
func (circle circle) of(routers []place, asked Lookup) []ids.Address {
	var chosen []ids.Address
	for _, router := range routers {
		if circle.has(router, asked) && len(chosen) < listLimit {
			chosen = append(chosen, router.front)
		}
	}
	return chosen
}

// all gives the routers everywhere: those that serve, those that reach no
// runners, and whether some are out of reach.
func (directory *Directory) all() (able []place, unable []place, cut bool) {
	able, unable, cut = directory.own()
	if directory.Elsewhere == nil {
		return able, unable, cut
	}
	reached, gone := directory.Elsewhere()
	for _, fronts := range reached {
		able = append(able, directory.places(fronts.Zone, fronts.Able)...)
		unable = append(unable, directory.places(fronts.Zone, fronts.Unable)...)
	}
	return able, unable, cut || len(gone) > 0
}

// own gives the routers of the directory's zone: those that serve, those that
// reach no runners, and whether some are out of reach.
func (directory *Directory) own() (able []place, unable []place, cut bool) {
	zone := directory.Table.Self().Zone
	for _, member := range directory.Table.Members() {
		if member.Zone != zone || member.Front == "" {
			continue
		}
		found := place{front: member.Front, zone: member.Zone, region: member.Region}
		serving := member.State == cohort.Alive && member.Ready
		if serving && member.Unable {
			unable = append(unable, found)
		} else if serving {
			able = append(able, found)
		}
		cut = cut || member.State == cohort.Removed || member.State == cohort.Suspect
	}
	return able, unable, cut
}

func (directory *Directory) places(zone ids.Zone, fronts []ids.Address) []place {
	var found []place
	for _, front := range fronts {
		found = append(found, place{front: front, zone: zone, region: directory.Zones[zone]})
	}
	return found
}
