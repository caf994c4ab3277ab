// Package directory tells clients which routers to go to: those of their own
// zone where there are any, then those of their region, then all others.
package directory

import (
	"net/http"

	"onyxwell/base/call"
	"onyxwell/base/ids"
	"onyxwell/base/reply"
	"onyxwell/base/scope"
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
// and from what the relays of the other zones tell of theirs.
type Directory struct {
	Table *cohort.Table
	// Elsewhere gives the routers of the other zones that are in reach, and the
	// zones that are not.
	Elsewhere func() (reached []zoneview.Fronts, cut []ids.Zone)
	Zones     map[ids.Zone]ids.Region
	// Fewest is how many routers a near choice must have to be enough.
	Fewest int
}

// place is a router that a client may go to.
type place struct {
	front  ids.Address
	zone   ids.Zone
	region ids.Region
}

// Serve adds the directory's call to a table.
//
// Example:
//
//	directory.Directory{Table: table, Fewest: 2}.Serve(calls)
func (directory Directory) Serve(calls *call.Table) {
	call.Handle(calls, http.MethodGet, "/lookup", func(inner scope.Scope, asked Lookup) (Found, error) {
		return Found{Addresses: directory.Choose(asked), TTLS: min(1, inner.Boot.Bounds.TTLMaxS)}, nil
	})
}

// nearness are the circles around a client, the closest first.
var nearness = []func(place, Lookup) bool{
	func(router place, asked Lookup) bool { return router.zone == asked.Zone },
	func(router place, asked Lookup) bool { return router.region == asked.Region },
	func(place, Lookup) bool { return true },
}

// Choose picks the routers of the closest circle that has enough of them. Those
// that reach no runners are passed over; where only such are left while others
// are out of reach, there is no answer, so that the client asks a directory
// elsewhere.
//
// Example:
//
//	addresses := directory.Choose(directory.Lookup{Region: region, Zone: zone})
func (directory Directory) Choose(asked Lookup) []ids.Address {
	able, unable, cut := directory.own()
	if directory.Elsewhere != nil {
		reached, away := directory.Elsewhere()
		for _, fronts := range reached {
			able = append(able, directory.places(fronts.Zone, fronts.Able)...)
			unable = append(unable, directory.places(fronts.Zone, fronts.Unable)...)
		}
		cut = cut || len(away) > 0
	}
	if len(able) == 0 && !cut {
		able = unable
	}
	return directory.closest(able, asked)
}

// own gives the routers of the directory's zone: those that serve, those that
// reach no runners, and whether some are out of reach.
func (directory Directory) own() (able []place, unable []place, cut bool) {
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

func (directory Directory) places(zone ids.Zone, fronts []ids.Address) []place {
	var found []place
	for _, front := range fronts {
		found = append(found, place{front: front, zone: zone, region: directory.Zones[zone]})
	}
	return found
}

func (directory Directory) closest(ready []place, asked Lookup) []ids.Address {
	for _, near := range nearness {
		var chosen []ids.Address
		for _, router := range ready {
			if near(router, asked) && len(chosen) < listLimit {
				chosen = append(chosen, router.front)
			}
		}
		if len(chosen) >= min(directory.Fewest, len(ready)) && len(chosen) > 0 {
			return chosen
		}
	}
	return nil
}
