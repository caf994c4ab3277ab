package gossip

import (
	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/base/scope"
	"onyxwell/control/membership"
)

// fromNearerTries is how often a daemon that knows nothing asks those nearby alone,
// before it takes all news from far away.
const fromNearerTries = 3

// nearerPart is the part, one in so many, of the time between two exchanges that one
// nearby has for its answer: it may be down as well.
const nearerPart = 4

// fromNearer has a daemon that knows nothing take the news, which may be long, from
// a daemon that is nearer than the one that it asked first, mostly a seed. It tells
// whether that was done, or is to be tried again: the mates may know nothing yet
// either, and the first relay of a zone is the one to bring it there.
func (s *Spreader) fromNearer(ctx scope.Scope, asked ids.Address, told ExchangeTold) bool {
	if !s.News.Empty() {
		return false
	}
	s.Table.Merge(append(told.Members, told.From))
	nearer, found := s.nearer(asked)
	if !found {
		return false
	}
	short, release := ctx.WithLimit(s.Every / nearerPart)
	s.Exchange(short, nearer)
	release()
	if !s.News.Empty() {
		return true
	}
	self := s.Table.Self()
	first := s.Table.Relays(self.Zone, 1)
	brings := len(first) > 0 && first[0].Address == self.Address
	return !brings && s.emptyTries.Add(1) <= fromNearerTries
}

// nearer gives a relay or controller that is nearer than a daemon: of the own zone,
// or of the own region where the other is of neither.
func (s *Spreader) nearer(than ids.Address) (ids.Address, bool) {
	other, _ := s.Table.Find(than)
	var best []membership.Member
	for _, member := range s.Table.Members() {
		usable := member.State == membership.Alive && member.Backbone() && member.Address != s.Table.Self().Address
		if !usable || s.distance(member) >= s.distance(other) {
			continue
		}
		if len(best) > 0 && s.distance(member) < s.distance(best[0]) {
			best = nil
		}
		if len(best) == 0 || s.distance(member) == s.distance(best[0]) {
			best = append(best, member)
		}
	}
	if len(best) == 0 {
		return "", false
	}
	return best[random.Below(len(best))].Address, true
}

// distance is 0 in the own zone, 1 in the own region, 2 elsewhere.
func (s *Spreader) distance(member membership.Member) int {
	self := s.Table.Self()
	switch {
	case member.Zone == self.Zone:
		return 0
	case member.Region == self.Region:
		return 1
	}
	return 2
}
