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

// maxAddresses is how many addresses a client reads.
const maxAddresses = 64

// LookupRequest is GET /lookup.
type LookupRequest struct {
	Region ids.Region
	Zone   ids.Zone
}

// Read takes where the client is.
func (l *LookupRequest) Read(incoming httpcall.Incoming) error {
	query := incoming.Request.URL.Query()
	l.Region, l.Zone = ids.Region(query.Get("region")), ids.Zone(query.Get("zone"))
	return nil
}

// LookupResponse is the answer to a lookup.
type LookupResponse struct {
	Addresses []ids.Address `json:"addresses"`
	TTLS      float64       `json:"ttl_s"`
}

// Reply tells the addresses; an empty list is no answer.
func (l LookupResponse) Reply() response.Response {
	if len(l.Addresses) == 0 {
		return response.Empty(http.StatusServiceUnavailable)
	}
	return response.JSON(http.StatusOK, l)
}

// Directory answers from the members of its own zone that this daemon knows,
// and from what the relays of the other zones tell of theirs. It leads clients
// out of their region only where that is known to be lost (regions.go).
type Directory struct {
	Membership *membership.Table
	// OtherZones gives the routers of the other zones that are in reach, and the
	// zones that are not.
	OtherZones func() (reached []zonesummary.RouterEndpoints, cut []ids.Zone)
	Zones      map[ids.Zone]ids.Region
	// LossTimeout is how long a region may be without any able router, for no reason
	// that is known, before it counts as lost.
	LossTimeout clock.Span
	// Metrics and Monitor may be left out.
	Metrics *telemetry.Metrics
	Monitor *invariant.Monitor
	regions regionTracker
}

// endpoint is a router that a client may go to.
type endpoint struct {
	front  ids.Address
	zone   ids.Zone
	region ids.Region
}

// Serve adds the directory's call to a table.
func (d *Directory) Serve(calls *httpcall.Mux) {
	httpcall.Handle(calls, http.MethodGet, "/lookup", func(ctx scope.Scope, asked LookupRequest) (LookupResponse, error) {
		return LookupResponse{Addresses: d.Choose(asked), TTLS: min(1, ctx.Settings.Bounds.TTLMaxS)}, nil
	})
}

// locality is a set of routers around a client.
type locality struct {
	name     string
	contains func(endpoint, LookupRequest) bool
}

// localities are the circles that a client needs no reason for, the closest first.
var localities = []locality{
	{"zone", func(router endpoint, asked LookupRequest) bool { return router.zone == asked.Zone }},
	{"region", func(router endpoint, asked LookupRequest) bool { return router.region == asked.Region }},
}

// anywhere is the circle of all routers.
var anywhere = locality{"away", func(endpoint, LookupRequest) bool { return true }}

// noLocality is told of look-ups that get no answer.
const noLocality = "none"

// Choose picks the routers of the closest circle that has any. Those that reach
// no runners are passed over, unless there are no others. Where nobody near is
// able there is no answer, so that the client asks another directory or stays
// with what it has, unless its region is known to be lost: one whose routers
// start, leave in order or were not heard of yet is not.
func (d *Directory) Choose(asked LookupRequest) []ids.Address {
	able, unable, cut := d.endpoints()
	now := d.Membership.Now()
	for _, circle := range localities {
		if chosen := circle.choose(able, asked); len(chosen) > 0 {
			d.regions.markAble(asked.Region, now)
			return d.countLookup(circle, chosen)
		}
	}
	if len(able) == 0 && !cut {
		// All are in reach, and none is better than those nearby.
		for _, circle := range localities {
			if chosen := circle.choose(unable, asked); len(chosen) > 0 {
				return d.countLookup(circle, chosen)
			}
		}
		able = unable
	}
	if !d.isLost(asked.Region, unable, now) {
		return d.countLookup(locality{name: noLocality}, nil)
	}
	chosen := anywhere.choose(able, asked)
	d.checkRedirect(asked, chosen, now)
	if len(chosen) == 0 {
		return d.countLookup(locality{name: noLocality}, nil)
	}
	return d.countLookup(anywhere, chosen)
}

func (d *Directory) countLookup(circle locality, chosen []ids.Address) []ids.Address {
	d.Metrics.Lookup(circle.name)
	return chosen
}

// choose gives the fronts of the routers in the circle, as many as a client reads.
func (l locality) choose(routers []endpoint, asked LookupRequest) []ids.Address {
	var chosen []ids.Address
	for _, router := range routers {
		if l.contains(router, asked) && len(chosen) < maxAddresses {
			chosen = append(chosen, router.front)
		}
	}
	return chosen
}

// endpoints gives the routers everywhere: those that serve, those that reach no
// runners, and whether some are out of reach.
func (d *Directory) endpoints() (able []endpoint, unable []endpoint, cut bool) {
	able, unable, cut = d.ownZoneEndpoints()
	if d.OtherZones == nil {
		return able, unable, cut
	}
	reached, gone := d.OtherZones()
	for _, fronts := range reached {
		able = append(able, d.zoneEndpoints(fronts.Zone, fronts.Ready)...)
		unable = append(unable, d.zoneEndpoints(fronts.Zone, fronts.Degraded)...)
	}
	return able, unable, cut || len(gone) > 0
}

// ownZoneEndpoints gives the routers of the directory's zone: those that serve, those that
// reach no runners, and whether some are out of reach.
func (d *Directory) ownZoneEndpoints() (able []endpoint, unable []endpoint, cut bool) {
	zone := d.Membership.Self().Zone
	for _, member := range d.Membership.Members() {
		if member.Zone != zone || member.ClientAddress == "" {
			continue
		}
		found := endpoint{front: member.ClientAddress, zone: member.Zone, region: member.Region}
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

func (d *Directory) zoneEndpoints(zone ids.Zone, fronts []ids.Address) []endpoint {
	var found []endpoint
	for _, front := range fronts {
		found = append(found, endpoint{front: front, zone: zone, region: d.Zones[zone]})
	}
	return found
}
