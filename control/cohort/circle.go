package cohort

import (
	"slices"

	"onyxwell/base/chance"
	"onyxwell/base/ids"
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

func (prober *Prober) circleOf(member Member) circle {
	if member.Zone == prober.Table.Self().Zone {
		return nearCircle
	}
	return farCircle
}

// next gives the members of a circle one after another, in a new order each turn.
func (prober *Prober) next(of circle) (Member, bool) {
	prober.lock.Lock()
	defer prober.lock.Unlock()
	if prober.turns == nil {
		prober.turns = map[circle][]Member{}
	}
	if len(prober.turns[of]) == 0 {
		turn := prober.others(of, "")
		if prober.Shuffle != nil {
			prober.Shuffle(turn)
		} else {
			chance.Shuffle(turn)
		}
		prober.turns[of] = turn
	}
	if len(prober.turns[of]) == 0 {
		return Member{}, false
	}
	target := prober.turns[of][0]
	prober.turns[of] = prober.turns[of][1:]
	return target, true
}

// hurry puts those of a suspected member's zone at the head of the turn, and gives
// them: a zone that is lost is found out as a whole.
func (prober *Prober) hurry(suspected Member) []Member {
	of := prober.circleOf(suspected)
	if of == nearCircle {
		return nil
	}
	var mates []Member
	for _, member := range prober.others(of, suspected.Address) {
		if member.Zone == suspected.Zone && member.State == Alive {
			mates = append(mates, member)
		}
	}
	prober.lock.Lock()
	defer prober.lock.Unlock()
	if prober.turns != nil {
		prober.turns[of] = append(mates, slices.DeleteFunc(prober.turns[of], func(member Member) bool { return member.Zone == suspected.Zone })...)
	}
	return mates
}

// others are those of a circle whom this daemon probes. Only the backbone
// probes over zones.
func (prober *Prober) others(of circle, without ids.Address) []Member {
	self := prober.Table.Self()
	var found []Member
	for _, member := range prober.Table.Members() {
		if prober.circleOf(member) != of || (of == farCircle && !self.Backbone()) {
			continue
		}
		if member.Present() && member.Address != self.Address && member.Address != without {
			found = append(found, member)
		}
	}
	return found
}

func (prober *Prober) thirds(target Member) []Member {
	found := prober.others(prober.circleOf(target), target.Address)
	chance.Shuffle(found)
	return found[:min(prober.Pace.Seconds, len(found))]
}
