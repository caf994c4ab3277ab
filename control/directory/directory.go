// Package directory tells visitors which routers to go to: those of their own
// zone where there are any, then those of their region, then all others.
package directory

import (
	"net/http"

	"onyxwell/base/call"
	"onyxwell/base/ids"
	"onyxwell/base/reply"
	"onyxwell/base/scope"
	"onyxwell/control/cohort"
)

// listLimit is how many addresses a visitor reads.
const listLimit = 64

// Lookup is GET /lookup.
type Lookup struct {
	Region ids.Region
	Zone   ids.Zone
}

// Read takes where the visitor is.
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

// Directory answers from the members that this daemon knows.
type Directory struct {
	Table *cohort.Table
	// Fewest is how many routers a near choice must have to be enough.
	Fewest int
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

// nearness are the circles around a visitor, the closest first.
var nearness = []func(cohort.Member, Lookup) bool{
	func(member cohort.Member, asked Lookup) bool { return member.Zone == asked.Zone },
	func(member cohort.Member, asked Lookup) bool { return member.Region == asked.Region },
	func(cohort.Member, Lookup) bool { return true },
}

// Choose picks the routers of the closest circle that has enough of them. Those
// that reach no runners are passed over; where only such are left while others
// are out of reach, there is no answer, so that the visitor asks a directory
// elsewhere.
//
// Example:
//
//	addresses := directory.Choose(directory.Lookup{Region: region, Zone: zone})
func (directory Directory) Choose(asked Lookup) []ids.Address {
	var able, unable []cohort.Member
	cut := false
	for _, member := range directory.Table.Members() {
		serving := member.State == cohort.Alive && member.Ready && member.Front != ""
		if serving && member.Unable {
			unable = append(unable, member)
		} else if serving {
			able = append(able, member)
		}
		cut = cut || (member.Front != "" && (member.State == cohort.Removed || member.State == cohort.Suspect))
	}
	if len(able) == 0 && !cut {
		able = unable
	}
	return directory.closest(able, asked)
}

func (directory Directory) closest(ready []cohort.Member, asked Lookup) []ids.Address {
	for _, near := range nearness {
		var chosen []ids.Address
		for _, member := range ready {
			if near(member, asked) && len(chosen) < listLimit {
				chosen = append(chosen, member.Front)
			}
		}
		if len(chosen) >= min(directory.Fewest, len(ready)) && len(chosen) > 0 {
			return chosen
		}
	}
	return nil
}
