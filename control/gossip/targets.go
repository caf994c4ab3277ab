package gossip

import (
	"slices"

	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/control/membership"
)

// maxDeliveryAttempts bounds the number of candidates tried for one delivery.
const maxDeliveryAttempts = 3

// delivery is one message of a push: the daemons that it may be sent to, in order of
// preference, the targets that each of them would have to reach, and the remaining
// targets to push to if none of them accepts it.
type delivery struct {
	candidates []ids.Address
	targets    func(candidate ids.Address) Targets
	remainder  Targets
}

// allTargets returns the targets for an item that this daemon created: all regions.
func (g *Gossiper) allTargets() Targets {
	seen := map[ids.Region]bool{}
	targets := Targets{}
	for _, region := range g.Zones {
		if !seen[region] {
			seen[region] = true
			targets.Regions = append(targets.Regions, region)
		}
	}
	slices.Sort(targets.Regions)
	return targets
}

// splitTargets splits targets into deliveries, at most Fanout each for regions, zones and
// members. It expands this daemon's own region into its zones and its own zone into its
// members.
func (g *Gossiper) splitTargets(targets Targets) []delivery {
	deliveries := g.regionDeliveries(g.expandOwnRegion(&targets), targets.BackboneOnly)
	deliveries = append(deliveries, g.zoneDeliveries(g.expandOwnZone(&targets), targets.BackboneOnly)...)
	return append(deliveries, g.memberDeliveries(targets.Members)...)
}

func (g *Gossiper) regionDeliveries(regions []ids.Region, backboneOnly bool) []delivery {
	var deliveries []delivery
	for _, chunk := range chunks(regions, g.Fanout) {
		deliveries = append(deliveries, delivery{
			candidates: g.backboneCandidates(func(zone ids.Zone) bool { return g.Zones[zone] == chunk[0] }),
			targets:    func(ids.Address) Targets { return Targets{Regions: chunk, BackboneOnly: backboneOnly} },
			remainder:  Targets{Regions: chunk[1:], BackboneOnly: backboneOnly},
		})
	}
	return deliveries
}

func (g *Gossiper) zoneDeliveries(zones []ids.Zone, backboneOnly bool) []delivery {
	var deliveries []delivery
	for _, chunk := range chunks(zones, g.Fanout) {
		deliveries = append(deliveries, delivery{
			candidates: g.backboneCandidates(func(zone ids.Zone) bool { return zone == chunk[0] }),
			targets:    func(ids.Address) Targets { return Targets{Zones: chunk, BackboneOnly: backboneOnly} },
			remainder:  Targets{Zones: chunk[1:], BackboneOnly: backboneOnly},
		})
	}
	return deliveries
}

// memberDeliveries splits members into chunks, one delivery each. The first member that
// accepts a delivery forwards it to the members after it in the chunk. Members that are
// known to be gone are omitted.
func (g *Gossiper) memberDeliveries(addresses []ids.Address) []delivery {
	self := g.Table.Self()
	reachable := slices.DeleteFunc(slices.Clone(addresses), func(address ids.Address) bool {
		known, ok := g.Table.Find(address)
		return address == self.Address || (ok && !known.Present())
	})
	var deliveries []delivery
	for _, chunk := range chunks(reachable, g.Fanout) {
		attempts := min(maxDeliveryAttempts, len(chunk))
		deliveries = append(deliveries, delivery{
			candidates: chunk[:attempts],
			targets: func(candidate ids.Address) Targets {
				return Targets{Members: chunk[slices.Index(chunk, candidate)+1:]}
			},
			remainder: Targets{Members: chunk[attempts:]},
		})
	}
	return deliveries
}

// expandOwnRegion adds the zones of this daemon's region to the targets if they include
// that region, and returns the other regions.
func (g *Gossiper) expandOwnRegion(targets *Targets) []ids.Region {
	self := g.Table.Self()
	if slices.Contains(targets.Regions, self.Region) {
		for zone, region := range g.Zones {
			if region == self.Region && !slices.Contains(targets.Zones, zone) {
				targets.Zones = append(targets.Zones, zone)
			}
		}
		slices.Sort(targets.Zones)
	}
	return slices.DeleteFunc(slices.Clone(targets.Regions), func(region ids.Region) bool { return region == self.Region })
}

// expandOwnZone adds the members of this daemon's zone to the targets if they include that
// zone, and returns the other zones.
func (g *Gossiper) expandOwnZone(targets *Targets) []ids.Zone {
	self := g.Table.Self()
	if slices.Contains(targets.Zones, self.Zone) {
		local, _, _ := g.classifyMembers()
		for _, member := range local {
			if !slices.Contains(targets.Members, member.Address) && (member.Backbone() || !targets.BackboneOnly) {
				targets.Members = append(targets.Members, member.Address)
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(targets.Zones), func(zone ids.Zone) bool { return zone == self.Zone })
}

// backboneCandidates returns the live backbone members of the zones that match accepts:
// first the relays in random order, then the others.
func (g *Gossiper) backboneCandidates(match func(ids.Zone) bool) []ids.Address {
	var relays, others []ids.Address
	for _, member := range g.Table.Members() {
		if member.State != membership.Alive || !member.Backbone() || !match(member.Zone) {
			continue
		}
		if member.Relay {
			relays = append(relays, member.Address)
		} else {
			others = append(others, member.Address)
		}
	}
	random.Shuffle(relays)
	return append(relays, others...)
}

// chunks splits a list into at most maxChunks chunks of equal length, except for a
// shorter last one. maxChunks below 1 counts as 1.
func chunks[Element any](list []Element, maxChunks int) [][]Element {
	if len(list) == 0 {
		return nil
	}
	size := (len(list) + max(1, maxChunks) - 1) / max(1, maxChunks)
	return slices.Collect(slices.Chunk(list, size))
}
