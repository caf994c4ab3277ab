// Package directory tells clients which routers to go to: those of their own
// zone where there are any, then those of their region, then all others.
package directory

import (
	"net/http"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/base/response"
	"onyxwell/base/scope"
	"onyxwell/base/telemetry"
	"onyxwell/control/membership"
	"onyxwell/control/membership/zonesummary"
)

// listLimit is how many addresses a client reads.
const listLimit = 64

// Lookup is GET /lookup.
type Lookup struct {
	Region ids.Region
	Zone   ids.Zone
}

// Read takes where the client is.
func (l *Lookup) Read(incoming httpcall.Incoming) error {
	query := incoming.Request.URL.Query()
	l.Region, l.Zone = ids.Region(query.Get("region")), ids.Zone(query.Get("zone"))
	return nil
}

// Found is the answer to a lookup.
type Found struct {
	Addresses []ids.Address `json:"addresses"`
	TTLS      float64       `json:"ttl_s"`
}

// Reply tells the addresses; an empty list is no answer.
func (f Found) Reply() response.Reply {
	if len(f.Addresses) == 0 {
		return response.Empty(http.StatusServiceUnavailable)
	}
	return response.JSON(http.StatusOK, f)
}

// Directory answers from the members of its own zone that this daemon knows,
// and from what the relays of the other zones tell of theirs. It leads clients
// out of their region only where that is known to be lost (regions.go).
type Directory struct {
	Table *membership.Table
	// Elsewhere gives the routers of the other zones that are in reach, and the
	// zones that are not.
	Elsewhere func() (reached []zonesummary.RouterEndpoints, cut []ids.Zone)
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
func (d *Directory) Serve(calls *httpcall.Table) {
	httpcall.Handle(calls, http.MethodGet, "/lookup", func(ctx scope.Scope, asked Lookup) (Found, error) {
		return Found{Addresses: d.Choose(asked), TTLS: min(1, ctx.Boot.Bounds.TTLMaxS)}, nil
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
func (d *Directory) Choose(asked Lookup) []ids.Address {
	able, unable, cut := d.all()
	now := d.Table.Now()
	for _, circle := range near {
		if chosen := circle.of(able, asked); len(chosen) > 0 {
			d.regions.able(asked.Region, now)
			return d.tell(circle, chosen)
		}
	}
	if len(able) == 0 && !cut {
		// All are in reach, and none is better than those nearby.
		for _, circle := range near {
			if chosen := circle.of(unable, asked); len(chosen) > 0 {
				return d.tell(circle, chosen)
			}
		}
		able = unable
	}
	if !d.lost(asked.Region, unable, now) {
		return d.tell(circle{name: noCircle}, nil)
	}
	chosen := away.of(able, asked)
	d.watch(asked, chosen, now)
	if len(chosen) == 0 {
		return d.tell(circle{name: noCircle}, nil)
	}
	return d.tell(away, chosen)
}

func (d *Directory) tell(circle circle, chosen []ids.Address) []ids.Address {
	d.Metrics.Lookup(circle.name)
	return chosen
}

// of gives the fronts of the routers in the circle, as many as a client reads.
func (c circle) of(routers []place, asked Lookup) []ids.Address {
	var chosen []ids.Address
	for _, router := range routers {
		if c.has(router, asked) && len(chosen) < listLimit {
			chosen = append(chosen, router.front)
		}
	}
	return chosen
}

// all gives the routers everywhere: those that serve, those that reach no
// runners, and whether some are out of reach.
func (d *Directory) all() (able []place, unable []place, cut bool) {
	able, unable, cut = d.own()
	if d.Elsewhere == nil {
		return able, unable, cut
	}
	reached, gone := d.Elsewhere()
	for _, fronts := range reached {
		able = append(able, d.places(fronts.Zone, fronts.Ready)...)
		unable = append(unable, d.places(fronts.Zone, fronts.Degraded)...)
	}
	return able, unable, cut || len(gone) > 0
}

// own gives the routers of the directory's zone: those that serve, those that
// reach no runners, and whether some are out of reach.
func (d *Directory) own() (able []place, unable []place, cut bool) {
	zone := d.Table.Self().Zone
	for _, member := range d.Table.Members() {
		if member.Zone != zone || member.ClientAddress == "" {
			continue
		}
		found := place{front: member.ClientAddress, zone: member.Zone, region: member.Region}
		serving := member.State == membership.Alive && member.Ready
		if serving && member.Degraded {
			unable = append(unable, found)
		} else if serving {
			able = append(able, found)
		}
		cut = cut || member.State == membership.Removed || member.State == membership.Suspect
	}
	return able, unable, cut
}

func (d *Directory) places(zone ids.Zone, fronts []ids.Address) []place {
	var found []place
	for _, front := range fronts {
		found = append(found, place{front: front, zone: zone, region: d.Zones[zone]})
	}
	return found
}
