package register

import (
	"fmt"
	"sort"
	"strings"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// Redundancy is how much more the control state bears, as seen by one controller.
type Redundancy struct {
	Voters int `json:"seats"`
	// CurrentVotes are the seats that answered, on the disk that was seated and under
	// the voters of now; Away are those that did not, Learning those that don't
	// vote yet.
	CurrentVotes int           `json:"votes_that_count"`
	Learners     []ids.Address `json:"learning"`
	Unreachable  []ids.Address `json:"away"`
	// Keys tells for each key how many disks hold the newest of it, and which
	// voters lag.
	Keys []KeyRedundancy `json:"keys"`
	// TolerableLosses is how many more voters may be lost with every answered change kept
	// and the next one possible; below 0 no change is possible now.
	TolerableLosses int  `json:"bears_losses"`
	Complete        bool `json:"whole"`
}

// KeyRedundancy is how many disks hold the newest of a key.
type KeyRedundancy struct {
	Key     string        `json:"key"`
	Copies  int           `json:"disks"`
	Lagging []ids.Address `json:"behind"`
}

// String is the redundancy in one line.
func (r Redundancy) String() string {
	var lagging []string
	for _, key := range r.Keys {
		if len(key.Lagging) > 0 {
			lagging = append(lagging, fmt.Sprintf("%s on %d", key.Key, key.Copies))
		}
	}
	return fmt.Sprintf("bears %d more losses: %d of %d votes, learning %v, away %v, lagging [%s]", r.TolerableLosses,
		r.CurrentVotes, r.Voters, r.Learners, r.Unreachable, strings.Join(lagging, ", "))
}

// Redundancy asks all voters how they stand, and repairs nothing: it is for one
// that has no seat of its own.
func (j *Joiner) Redundancy(ctx scope.Scope) Redundancy {
	return (&Repairer{Joiner: j}).survey(ctx).redundancy()
}

// clusterView is what one round of questions found.
type clusterView struct {
	voters  VoterSet
	digests map[ids.Address]DigestResponse
	newest  map[string]KeyDigest
	keys    []string
}

// survey asks all voters how they stand; those that don't answer, or with another
// disk than the seated one, are left out.
func (r *Repairer) survey(ctx scope.Scope) clusterView {
	joiner := r.Joiner
	found := clusterView{voters: joiner.Acceptor.Voters(), digests: map[ids.Address]DigestResponse{}, newest: map[string]KeyDigest{}}
	add := func(address ids.Address, told DigestResponse) {
		seat, _ := found.voters.member(address)
		if !told.Voting || told.Incarnation != seat.Incarnation {
			return
		}
		found.digests[address] = told
		for _, held := range told.Keys {
			if known, seen := found.newest[held.Key]; !seen || held.proposal().newerThan(known.proposal()) {
				found.newest[held.Key] = held
			}
		}
	}
	add(joiner.Address, joiner.Acceptor.Digest())
	gather(joiner, joiner.otherVoters(found.voters), joiner.suspected, always, func(address ids.Address) (DigestResponse, bool) {
		told, err := joiner.fetchDigest(ctx, address)
		return told, err == nil
	}, add)
	for key := range found.newest {
		found.keys = append(found.keys, key)
	}
	sort.Strings(found.keys)
	return found
}

// lagging gives the voters that hold something older than this.
func (c clusterView) lagging(key string, mark KeyDigest) []Member {
	var lagging []Member
	for _, seat := range c.voters.Members {
		if told, answered := c.digests[seat.Address]; answered && mark.proposal().newerThan(told.key(key).proposal()) {
			lagging = append(lagging, seat)
		}
	}
	return lagging
}

func (d DigestResponse) key(key string) KeyDigest {
	for _, held := range d.Keys {
		if held.Key == key {
			return held
		}
	}
	return KeyDigest{}
}

// copies counts the disks that hold the newest of a key.
func (c clusterView) copies(key string) int {
	return len(c.digests) - len(c.lagging(key, c.newest[key]))
}

// rank is the place of a voter among those that answered.
func (c clusterView) rank(address ids.Address) int {
	rank := 0
	for _, seat := range c.voters.Members {
		if seat.Address == address {
			return rank
		}
		if _, answered := c.digests[seat.Address]; answered {
			rank++
		}
	}
	return rank
}

func (c clusterView) redundancy() Redundancy {
	state := Redundancy{Voters: len(c.voters.Members), Learners: []ids.Address{}, Unreachable: []ids.Address{}, Keys: []KeyRedundancy{}}
	for _, seat := range c.voters.Members {
		told, answered := c.digests[seat.Address]
		switch {
		case seat.Learner:
			state.Learners = append(state.Learners, seat.Address)
		case !answered:
			state.Unreachable = append(state.Unreachable, seat.Address)
		case told.Fingerprint == c.voters.Fingerprint():
			state.CurrentVotes++
		}
	}
	state.TolerableLosses = state.CurrentVotes - quorum(state.Voters)
	state.Complete = state.Voters > 0 && state.CurrentVotes == state.Voters
	for _, key := range c.keys {
		held := KeyRedundancy{Key: key, Copies: c.copies(key), Lagging: []ids.Address{}}
		for _, seat := range c.lagging(key, c.newest[key]) {
			held.Lagging = append(held.Lagging, seat.Address)
		}
		// The newest is never on its last disk while as many are left as it bears.
		state.TolerableLosses = min(state.TolerableLosses, held.Copies-1)
		state.Complete = state.Complete && held.Copies == state.Voters
		state.Keys = append(state.Keys, held)
	}
	return state
}
