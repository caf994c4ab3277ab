package membership

import (
	"slices"

	"onyxwell/base/ids"
	"onyxwell/base/random"
)

// probeGroup is a group that a daemon probes in turn: its own zone, and for the
// backbone that of the other zones. Each has a turn of its own, so that neither
// waits for the other.
type probeGroup int

const (
	localGroup probeGroup = iota
	remoteGroup
)

var probeGroups = []probeGroup{localGroup, remoteGroup}

func (p *Prober) groupOf(member Member) probeGroup {
	if member.Zone == p.Table.Self().Zone {
		return localGroup
	}
	return remoteGroup
}

// nextTarget gives the members of a circle one after another, in a new order each turn.
func (p *Prober) nextTarget(of probeGroup) (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rotation == nil {
		p.rotation = map[probeGroup][]Member{}
	}
	if len(p.rotation[of]) == 0 {
		turn := p.candidates(of, "")
		if p.Shuffle != nil {
			p.Shuffle(turn)
		} else {
			random.Shuffle(turn)
		}
		p.rotation[of] = turn
	}
	if len(p.rotation[of]) == 0 {
		return Member{}, false
	}
	target := p.rotation[of][0]
	p.rotation[of] = p.rotation[of][1:]
	return target, true
}

// prioritizeZone puts those of a suspected member's zone at the head of the turn, and gives
// them: a zone that is lost is found out as a whole.
func (p *Prober) prioritizeZone(suspected Member) []Member {
	of := p.groupOf(suspected)
	if of == localGroup {
		return nil
	}
	var mates []Member
	for _, member := range p.candidates(of, suspected.Address) {
		if member.Zone == suspected.Zone && member.State == Alive {
			mates = append(mates, member)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rotation != nil {
		p.rotation[of] = append(mates, slices.DeleteFunc(p.rotation[of], func(member Member) bool { return member.Zone == suspected.Zone })...)
	}
	return mates
}

// candidates are those of a circle whom this daemon probes. Only the backbone
// probes over zones.
func (p *Prober) candidates(of probeGroup, without ids.Address) []Member {
	self := p.Table.Self()
	var found []Member
	for _, member := range p.Table.Members() {
		if p.groupOf(member) != of || (of == remoteGroup && !self.Backbone()) {
			continue
		}
		if member.Present() && member.Address != self.Address && member.Address != without {
			found = append(found, member)
		}
	}
	return found
}

func (p *Prober) indirectProbers(target Member) []Member {
	found := p.candidates(p.groupOf(target), target.Address)
	random.Shuffle(found)
	return found[:min(p.Config.IndirectProbes, len(found))]
}
