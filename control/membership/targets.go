package membership

import (
	"slices"

	"onyxwell/base/ids"
	"onyxwell/base/random"
)

// probeGroup is a set of members that a daemon probes in rotation: localGroup holds
// the members of its own zone, remoteGroup the backbone of the other zones, which only
// backbone members probe. Each group has its own rotation and one probe per interval,
// so that neither delays the other.
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

// nextTarget removes and returns the next member of a group's rotation, and starts a
// new, reshuffled rotation when the previous one is exhausted. Each member is probed
// once per rotation, which bounds the time until a failure is detected.
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

// prioritizeZone moves the live members of a suspected member's zone to the head of
// the rotation and returns them, so that the loss of a whole zone is detected
// immediately. It does nothing for this daemon's own zone.
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

// candidates returns the members of a group that this daemon probes, without the one
// at the address except. Only backbone members probe across zones.
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

// indirectProbers picks random members of the target's group that are asked to probe
// the target.
func (p *Prober) indirectProbers(target Member) []Member {
	candidates := p.candidates(p.groupOf(target), target.Address)
	random.Shuffle(candidates)
	return candidates[:min(p.Config.IndirectProbes, len(candidates))]
}
