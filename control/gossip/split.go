package gossip

import (
	"slices"

	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/control/membership"
)

// part is one sending: the daemons that may do it, the best first, what each of
// them is to reach, and what is left to reach when none of them answers.
type part struct {
	takers []ids.Address
	duty   func(taker ids.Address) Duty
	rest   Duty
}

// split cuts a duty into parts. The own region's zones and the own zone's
// members are this daemon's to split further.
func (s *Spreader) split(duty Duty) []part {
	self := s.Table.Self()
	var parts []part
	for _, chunk := range chunks(s.ownRegion(&duty), s.Fanout) {
		parts = append(parts, part{
			takers: s.takers(func(zone ids.Zone) bool { return s.Zones[zone] == chunk[0] }),
			duty:   func(ids.Address) Duty { return Duty{Regions: chunk, Backbone: duty.Backbone} },
			rest:   Duty{Regions: chunk[1:], Backbone: duty.Backbone},
		})
	}
	for _, chunk := range chunks(s.ownZone(&duty), s.Fanout) {
		parts = append(parts, part{
			takers: s.takers(func(zone ids.Zone) bool { return zone == chunk[0] }),
			duty:   func(ids.Address) Duty { return Duty{Zones: chunk, Backbone: duty.Backbone} },
			rest:   Duty{Zones: chunk[1:], Backbone: duty.Backbone},
		})
	}
	members := slices.DeleteFunc(slices.Clone(duty.Members), func(member ids.Address) bool {
		known, found := s.Table.Find(member)
		return member == self.Address || (found && !known.Present())
	})
	for _, chunk := range chunks(members, s.Fanout) {
		parts = append(parts, part{
			takers: chunk[:min(mostTakers, len(chunk))],
			duty:   func(taker ids.Address) Duty { return Duty{Members: chunk[slices.Index(chunk, taker)+1:]} },
			rest:   Duty{Members: chunk[min(mostTakers, len(chunk)):]},
		})
	}
	return parts
}

// ownRegion turns the own region of a duty into its zones and gives the others.
func (s *Spreader) ownRegion(duty *Duty) []ids.Region {
	self := s.Table.Self()
	if slices.Contains(duty.Regions, self.Region) {
		for zone, region := range s.Zones {
			if region == self.Region && !slices.Contains(duty.Zones, zone) {
				duty.Zones = append(duty.Zones, zone)
			}
		}
		slices.Sort(duty.Zones)
	}
	return slices.DeleteFunc(slices.Clone(duty.Regions), func(region ids.Region) bool { return region == self.Region })
}

// ownZone turns the own zone of a duty into its members and gives the others.
func (s *Spreader) ownZone(duty *Duty) []ids.Zone {
	self := s.Table.Self()
	if slices.Contains(duty.Zones, self.Zone) {
		near, _, _ := s.others()
		for _, member := range near {
			if !slices.Contains(duty.Members, member.Address) && (member.Backbone() || !duty.Backbone) {
				duty.Members = append(duty.Members, member.Address)
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(duty.Zones), func(zone ids.Zone) bool { return zone == self.Zone })
}

// takers are the daemons of the backbone in zones that may pass news on there:
// relays in any order, then the others.
func (s *Spreader) takers(wanted func(ids.Zone) bool) []ids.Address {
	var relays, rest []ids.Address
	for _, member := range s.Table.Members() {
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

// mostTakers is how many daemons are tried for one part.
const mostTakers = 3

// chunks cuts a list into at most so many even parts.
func chunks[Element any](list []Element, most int) [][]Element {
	if len(list) == 0 {
		return nil
	}
	size := (len(list) + max(1, most) - 1) / max(1, most)
	return slices.Collect(slices.Chunk(list, size))
}
