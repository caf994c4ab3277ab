package membership

import (
	"slices"

	"onyxwell/base/ids"
	"onyxwell/base/random"
)

// circle is a group that a daemon probes in turn: its own zone, and for the
// backbone that of the other zones. Each has a turn of its own, so that neither
// waits for the other.
type circle int

const (
	nearCircle circle = iota
	farCircle
)

var circles = []circle{nearCircle, farCircle}

func (p *Prober) circleOf(member Member) circle {
	if member.Zone == p.Table.Self().Zone {
		return nearCircle
	}
	return farCircle
}

// next gives the members of a circle one after another, in a new order each turn.
func (p *Prober) next(of circle) (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.turns == nil {
		p.turns = map[circle][]Member{}
	}
	if len(p.turns[of]) == 0 {
		turn := p.others(of, "")
		if p.Shuffle != nil {
			p.Shuffle(turn)
		} else {
			random.Shuffle(turn)
		}
		p.turns[of] = turn
	}
	if len(p.turns[of]) == 0 {
		return Member{}, false
	}
	target := p.turns[of][0]
	p.turns[of] = p.turns[of][1:]
	return target, true
}

// hurry puts those of a suspected member's zone at the head of the turn, and gives
// them: a zone that is lost is found out as a whole.
func (p *Prober) hurry(suspected Member) []Member {
	of := p.circleOf(suspected)
	if of == nearCircle {
		return nil
	}
	var mates []Member
	for _, member := range p.others(of, suspected.Address) {
		if member.Zone == suspected.Zone && member.State == Alive {
			mates = append(mates, member)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.turns != nil {
		p.turns[of] = append(mates, slices.DeleteFunc(p.turns[of], func(member Member) bool { return member.Zone == suspected.Zone })...)
	}
	return mates
}

// others are those of a circle whom this daemon probes. Only the backbone
// probes over zones.
func (p *Prober) others(of circle, without ids.Address) []Member {
	self := p.Table.Self()
	var found []Member
	for _, member := range p.Table.Members() {
		if p.circleOf(member) != of || (of == farCircle && !self.Backbone()) {
			continue
		}
		if member.Present() && member.Address != self.Address && member.Address != without {
			found = append(found, member)
		}
	}
	return found
}

func (p *Prober) thirds(target Member) []Member {
	found := p.others(p.circleOf(target), target.Address)
	random.Shuffle(found)
	return found[:min(p.Pace.Seconds, len(found))]
}
