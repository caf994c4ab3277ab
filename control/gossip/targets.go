package gossip

import (
	"slices"

	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/control/membership"
)

// delivery is one sending: the daemons that may do it, the best first, what each of
// them is to reach, and what is left to reach when none of them answers.
type delivery struct {
	candidates []ids.Address
	targets    func(taker ids.Address) Targets
	remainder  Targets
}

// splitTargets cuts a duty into parts. The own region's zones and the own zone's
// members are this daemon's to split further.
func (g *Gossiper) splitTargets(duty Targets) []delivery {
	self := g.Table.Self()
	var parts []delivery
	for _, chunk := range chunks(g.expandOwnRegion(&duty), g.Fanout) {
		parts = append(parts, delivery{
			candidates: g.backboneCandidates(func(zone ids.Zone) bool { return g.Zones[zone] == chunk[0] }),
			targets:    func(ids.Address) Targets { return Targets{Regions: chunk, BackboneOnly: duty.BackboneOnly} },
			remainder:  Targets{Regions: chunk[1:], BackboneOnly: duty.BackboneOnly},
		})
	}
	for _, chunk := range chunks(g.expandOwnZone(&duty), g.Fanout) {
		parts = append(parts, delivery{
			candidates: g.backboneCandidates(func(zone ids.Zone) bool { return zone == chunk[0] }),
			targets:    func(ids.Address) Targets { return Targets{Zones: chunk, BackboneOnly: duty.BackboneOnly} },
			remainder:  Targets{Zones: chunk[1:], BackboneOnly: duty.BackboneOnly},
		})
	}
	members := slices.DeleteFunc(slices.Clone(duty.Members), func(member ids.Address) bool {
		known, found := g.Table.Find(member)
		return member == self.Address || (found && !known.Present())
	})
	for _, chunk := range chunks(members, g.Fanout) {
		parts = append(parts, delivery{
			candidates: chunk[:min(maxDeliveryAttempts, len(chunk))],
			targets:    func(taker ids.Address) Targets { return Targets{Members: chunk[slices.Index(chunk, taker)+1:]} },
			remainder:  Targets{Members: chunk[min(maxDeliveryAttempts, len(chunk)):]},
		})
	}
	return parts
}

// expandOwnRegion turns the own region of a duty into its zones and gives the others.
func (g *Gossiper) expandOwnRegion(duty *Targets) []ids.Region {
	self := g.Table.Self()
	if slices.Contains(duty.Regions, self.Region) {
		for zone, region := range g.Zones {
			if region == self.Region && !slices.Contains(duty.Zones, zone) {
				duty.Zones = append(duty.Zones, zone)
			}
		}
		slices.Sort(duty.Zones)
	}
	return slices.DeleteFunc(slices.Clone(duty.Regions), func(region ids.Region) bool { return region == self.Region })
}

// expandOwnZone turns the own zone of a duty into its members and gives the others.
func (g *Gossiper) expandOwnZone(duty *Targets) []ids.Zone {
	self := g.Table.Self()
	if slices.Contains(duty.Zones, self.Zone) {
		near, _, _ := g.classifyMembers()
		for _, member := range near {
			if !slices.Contains(duty.Members, member.Address) && (member.Backbone() || !duty.BackboneOnly) {
				duty.Members = append(duty.Members, member.Address)
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(duty.Zones), func(zone ids.Zone) bool { return zone == self.Zone })
}

// backboneCandidates are the daemons of the backbone in zones that may pass news on there:
// relays in any order, then the others.
func (g *Gossiper) backboneCandidates(wanted func(ids.Zone) bool) []ids.Address {
	var relays, rest []ids.Address
	for _, member := range g.Table.Members() {
		if member.State != membership.Alive || !member.Backbone() || !wanted(member.Zone) {
			continue
		}
		if member.Relay {
			relays = append(relays, member.Address)
		} else {
			rest = append(rest, member.Address)
		}
	}
	random.Shuffle(relays)
	return append(relays, rest...)
}

// maxDeliveryAttempts is how many daemons are tried for one part.
const maxDeliveryAttempts = 3

// chunks cuts a list into at most so many even parts.
func chunks[Element any](list []Element, most int) [][]Element {
	if len(list) == 0 {
		return nil
	}
	size := (len(list) + max(1, most) - 1) / max(1, most)
	return slices.Collect(slices.Chunk(list, size))
}
