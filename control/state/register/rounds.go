package register

import (
	"sync"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/transport"
)

type vote struct {
	seat    Seat
	verdict Verdict
	number  int64
}

// rounds sends a message to every seat of the sets and returns once each set
// has a majority of grants (and so many copies, where that is more), or can't
// get it any more, or the scope ends.
func (k *Keeper) rounds(ctx scope.Scope, state *owned, sets [][]Seat, copies int, send func(scope.Scope, Seat) (Verdict, int64)) error {
	seats := union(sets)
	votes := make(chan vote, len(seats))
	for _, seat := range seats {
		k.options.Spawn(func() {
			message, release := ctx.Detached().WithLimit(k.options.MessageLimit)
			defer release()
			verdict, number := send(message, seat)
			votes <- vote{seat: seat, verdict: verdict, number: number}
		})
	}
	granted := map[ids.Address]bool{}
	refused := map[ids.Address]bool{}
	for range seats {
		select {
		case cast := <-votes:
			state.highest = max(state.highest, cast.number)
			if cast.verdict == Granted {
				granted[cast.seat.Address] = true
			} else {
				refused[cast.seat.Address] = true
			}
		case <-ctx.Done():
			return errkind.Of(errkind.Unsettled, "the voters did not answer in time")
		}
		if allHave(sets, granted, copies) {
			return nil
		}
		if lost(sets, refused, copies) {
			return errkind.Of(errkind.Unsettled, "too many voters refused")
		}
	}
	return errkind.Of(errkind.Unsettled, "no majority")
}

// take asks the voters for the key under the state's epoch and gives the
// newest value found. Taking the cohort key may uncover newer voters, whose
// majority is then needed too.
func (k *Keeper) take(ctx scope.Scope, state *owned, key string) (Accepted, error) {
	for {
		var lock sync.Mutex
		var newest Accepted
		sets := [][]Seat{state.voters.Seats}
		err := k.rounds(ctx, state, sets, 0, func(message scope.Scope, seat Seat) (Verdict, int64) {
			told, err := k.options.Line.Promise(message, seat.Address, PromiseAsk{Fence: state.voters.Fence(seat), Key: key, Epoch: state.epoch})
			verdict := verdictOf(told.Verdict, err)
			lock.Lock()
			defer lock.Unlock()
			if verdict == Granted && told.Slot.Accepted.newer(newest) {
				newest = told.Slot.Accepted
			}
			return verdict, told.Slot.Promised.Number
		})
		if err != nil {
			return Accepted{}, err
		}
		lock.Lock()
		found := newest
		lock.Unlock()
		if key != CohortKey {
			return found, nil
		}
		voters, err := transport.Unpack[Voters](found.Value)
		if err != nil || voters.Generation <= state.voters.Generation {
			return found, nil
		}
		state.voters = voters
		state.highest++
		state.epoch.Number = state.highest
	}
}

func union(sets [][]Seat) []Seat {
	var seats []Seat
	known := map[ids.Address]int{}
	for _, set := range sets {
		for _, seat := range set {
			if index, found := known[seat.Address]; found {
				// The newest set comes second: its incarnation is the one in force.
				if !seat.Learning && seats[index].Learning {
					seats[index] = seat
				}
				continue
			}
			known[seat.Address] = len(seats)
			seats = append(seats, seat)
		}
	}
	return seats
}

func allHave(sets [][]Seat, granted map[ids.Address]bool, copies int) bool {
	for _, set := range sets {
		if len(set) > 0 && !enough(set, granted, copies) {
			return false
		}
	}
	return true
}

// lost tells whether some set can't grant enough any more.
func lost(sets [][]Seat, refused map[ids.Address]bool, copies int) bool {
	for _, set := range sets {
		open := map[ids.Address]bool{}
		for _, seat := range set {
			open[seat.Address] = !refused[seat.Address]
		}
		if len(set) > 0 && !enough(set, open, copies) {
			return true
		}
	}
	return false
}
