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
	Seats int `json:"seats"`
	// Votes are the seats that answered, on the disk that was seated and under
	// the voters of now; Away are those that did not, Learning those that don't
	// vote yet.
	Votes    int           `json:"votes_that_count"`
	Learning []ids.Address `json:"learning"`
	Away     []ids.Address `json:"away"`
	// Keys tells for each key how many disks hold the newest of it, and which
	// voters lag.
	Keys []KeyHeld `json:"keys"`
	// Bears is how many more voters may be lost with every answered change kept
	// and the next one possible; below 0 no change is possible now.
	Bears int  `json:"bears_losses"`
	Whole bool `json:"whole"`
}

// KeyHeld is how many disks hold the newest of a key.
type KeyHeld struct {
	Key    string        `json:"key"`
	Disks  int           `json:"disks"`
	Behind []ids.Address `json:"behind"`
}

// String is the redundancy in one line.
func (r Redundancy) String() string {
	var lagging []string
	for _, key := range r.Keys {
		if len(key.Behind) > 0 {
			lagging = append(lagging, fmt.Sprintf("%s on %d", key.Key, key.Disks))
		}
	}
	return fmt.Sprintf("bears %d more losses: %d of %d votes, learning %v, away %v, lagging [%s]", r.Bears,
		r.Votes, r.Seats, r.Learning, r.Away, strings.Join(lagging, ", "))
}

// Redundancy asks all voters how they stand, and repairs nothing: it is for one
// that has no seat of its own.
func (j *Joiner) Redundancy(ctx scope.Scope) Redundancy {
	return (&Survey{Joiner: j}).look(ctx).redundancy()
}

// view is what one round of questions found.
type view struct {
	voters Voters
	told   map[ids.Address]HeldTold
	newest map[string]Held
	keys   []string
}

// look asks all voters how they stand; those that don't answer, or with another
// disk than the seated one, are left out.
func (s *Survey) look(ctx scope.Scope) view {
	joiner := s.Joiner
	found := view{voters: joiner.Acceptor.Voters(), told: map[ids.Address]HeldTold{}, newest: map[string]Held{}}
	add := func(address ids.Address, told HeldTold) {
		seat, _ := found.voters.seat(address)
		if !told.Voting || told.Incarnation != seat.Incarnation {
			return
		}
		found.told[address] = told
		for _, held := range told.Keys {
			if known, seen := found.newest[held.Key]; !seen || held.accepted().newer(known.accepted()) {
				found.newest[held.Key] = held
			}
		}
	}
	add(joiner.Address, joiner.Acceptor.Held())
	gather(joiner, joiner.peers(found.voters), joiner.doubted, always, func(address ids.Address) (HeldTold, bool) {
		told, err := joiner.held(ctx, address)
		return told, err == nil
	}, add)
	for key := range found.newest {
		found.keys = append(found.keys, key)
	}
	sort.Strings(found.keys)
	return found
}

// behind gives the voters that hold something older than this.
func (v view) behind(key string, mark Held) []Seat {
	var lagging []Seat
	for _, seat := range v.voters.Seats {
		if told, answered := v.told[seat.Address]; answered && mark.accepted().newer(told.held(key).accepted()) {
			lagging = append(lagging, seat)
		}
	}
	return lagging
}

func (h HeldTold) held(key string) Held {
	for _, held := range h.Keys {
		if held.Key == key {
			return held
		}
	}
	return Held{}
}

// holders counts the disks that hold the newest of a key.
func (v view) holders(key string) int {
	return len(v.told) - len(v.behind(key, v.newest[key]))
}

// rank is the place of a voter among those that answered.
func (v view) rank(address ids.Address) int {
	rank := 0
	for _, seat := range v.voters.Seats {
		if seat.Address == address {
			return rank
		}
		if _, answered := v.told[seat.Address]; answered {
			rank++
		}
	}
	return rank
}

func (v view) redundancy() Redundancy {
	state := Redundancy{Seats: len(v.voters.Seats), Learning: []ids.Address{}, Away: []ids.Address{}, Keys: []KeyHeld{}}
	for _, seat := range v.voters.Seats {
		told, answered := v.told[seat.Address]
		switch {
		case seat.Learning:
			state.Learning = append(state.Learning, seat.Address)
		case !answered:
			state.Away = append(state.Away, seat.Address)
		case told.Mark == v.voters.Mark():
			state.Votes++
		}
	}
	state.Bears = state.Votes - quorum(state.Seats)
	state.Whole = state.Seats > 0 && state.Votes == state.Seats
	for _, key := range v.keys {
		held := KeyHeld{Key: key, Disks: v.holders(key), Behind: []ids.Address{}}
		for _, seat := range v.behind(key, v.newest[key]) {
			held.Behind = append(held.Behind, seat.Address)
		}
		// The newest is never on its last disk while as many are left as it bears.
		state.Bears = min(state.Bears, held.Disks-1)
		state.Whole = state.Whole && held.Disks == state.Seats
		state.Keys = append(state.Keys, held)
	}
	return state
}
