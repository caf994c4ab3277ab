package membership

import (
	"slices"

	"onyxwell/base/ids"
	"onyxwell/base/random"
)

// probeGroup is a set of members that a daemon probes in rotation: those of its
// own zone, or for the backbone the backbone of the other zones. Each group has
// its own rotation and one probe an interval, so neither delays the other.
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

// nextTarget takes the next member off a group's rotation, and begins a new
// rotation in a new order where the last one is through: each member is probed
// once a rotation, which bounds the time until a failure is detected.
func (p *Prober) nextTarget(group probeGroup) (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rotation == nil {
		p.rotation = map[probeGroup][]Member{}
	}
	if len(p.rotation[group]) == 0 {
		rotation := p.candidates(group, "")
		if p.shuffle != nil {
			p.shuffle(rotation)
		} else {
			random.Shuffle(rotation)
		}
		p.rotation[group] = rotation
	}
	if len(p.rotation[group]) == 0 {
		return Member{}, false
	}
	target := p.rotation[group][0]
	p.rotation[group] = p.rotation[group][1:]
	return target, true
}

// prioritizeZone moves the members of a suspected member's zone to the head of
// the rotation and returns those that are alive, so that the loss of a whole zone
// is detected at once. It does nothing for the own zone.
func (p *Prober) prioritizeZone(suspected Member) []Member {
	group := p.groupOf(suspected)
	if group == localGroup {
		return nil
	}
	var peers []Member
	for _, member := range p.candidates(group, suspected.Address) {
		if member.Zone == suspected.Zone && member.State == Alive {
			peers = append(peers, member)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rotation != nil {
		rest := slices.DeleteFunc(p.rotation[group], func(member Member) bool { return member.Zone == suspected.Zone })
		p.rotation[group] = append(peers, rest...)
	}
	return peers
}

// candidates returns the members of a group that this daemon probes, except one.
// Only the backbone probes across zones.
func (p *Prober) candidates(group probeGroup, except ids.Address) []Member {
	self := p.Table.Self()
	var candidates []Member
	for _, member := range p.Table.Members() {
		if p.groupOf(member) != group || (group == remoteGroup && !self.Backbone()) {
			continue
		}
		if member.Present() && member.Address != self.Address && member.Address != except {
			candidates = append(candidates, member)
		}
	}
	return candidates
}

// indirectProbers picks the members that are asked to probe the target.
func (p *Prober) indirectProbers(target Member) []Member {
	candidates := p.candidates(p.groupOf(target), target.Address)
	random.Shuffle(candidates)
	return candidates[:min(p.Config.IndirectProbes, len(candidates))]
}
