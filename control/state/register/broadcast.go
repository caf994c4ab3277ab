package register

import (
	"sync"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/transport"
)

type vote struct {
	member      Member
	verdict     Verdict
	epochNumber int64
}

// broadcast sends a message to every seat of the sets and returns once each set
// has a majority of grants (and so many copies, where that is more), or can't
// get it any more, or the scope ends.
func (p *Proposer) broadcast(ctx scope.Scope, state *keyState, sets [][]Member, copies int, send func(scope.Scope, Member) (Verdict, int64)) error {
	seats := distinctMembers(sets)
	votes := make(chan vote, len(seats))
	for _, seat := range seats {
		p.options.Spawn(func() {
			message, release := ctx.WithoutCancel().WithTimeout(p.options.MessageTimeout)
			defer release()
			verdict, number := send(message, seat)
			votes <- vote{member: seat, verdict: verdict, epochNumber: number}
		})
	}
	granted := map[ids.Address]bool{}
	refused := map[ids.Address]bool{}
	for range seats {
		select {
		case cast := <-votes:
			state.highestEpoch = max(state.highestEpoch, cast.epochNumber)
			if cast.verdict == Granted {
				granted[cast.member.Address] = true
			} else {
				refused[cast.member.Address] = true
			}
		case <-ctx.Done():
			return errkind.Errorf(errkind.NoQuorum, "the voters did not answer in time")
		}
		if allQuorums(sets, granted, copies) {
			return nil
		}
		if quorumImpossible(sets, refused, copies) {
			return errkind.Errorf(errkind.NoQuorum, "too many voters refused")
		}
	}
	return errkind.Errorf(errkind.NoQuorum, "no majority")
}

// prepare asks the voters for the key under the state's epoch and gives the
// newest value found. Taking the cohort key may uncover newer voters, whose
// majority is then needed too.
func (p *Proposer) prepare(ctx scope.Scope, state *keyState, key string) (Proposal, error) {
	for {
		var lock sync.Mutex
		var newest Proposal
		sets := [][]Member{state.voters.Members}
		err := p.broadcast(ctx, state, sets, 0, func(message scope.Scope, seat Member) (Verdict, int64) {
			told, err := p.options.Client.Promise(message, seat.Address, PrepareRequest{Fence: state.voters.FencingToken(seat), Key: key, Epoch: state.epoch})
			verdict := verdictOf(told.Verdict, err)
			lock.Lock()
			defer lock.Unlock()
			if verdict == Granted && told.Slot.Accepted.newerThan(newest) {
				newest = told.Slot.Accepted
			}
			return verdict, told.Slot.Promised.Number
		})
		if err != nil {
			return Proposal{}, err
		}
		lock.Lock()
		found := newest
		lock.Unlock()
		if key != VotersKey {
			return found, nil
		}
		voters, err := transport.Unmarshal[VoterSet](found.Value)
		if err != nil || voters.Generation <= state.voters.Generation {
			return found, nil
		}
		state.voters = voters
		state.highestEpoch++
		state.epoch.Number = state.highestEpoch
	}
}

func distinctMembers(sets [][]Member) []Member {
	var seats []Member
	known := map[ids.Address]int{}
	for _, set := range sets {
		for _, seat := range set {
			if index, found := known[seat.Address]; found {
				// The newest set comes second: its incarnation is the one in force.
				if !seat.Learner && seats[index].Learner {
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

func allQuorums(sets [][]Member, granted map[ids.Address]bool, copies int) bool {
	for _, set := range sets {
		if len(set) > 0 && !hasQuorum(set, granted, copies) {
			return false
		}
	}
	return true
}

// quorumImpossible tells whether some set can't grant enough any more.
func quorumImpossible(sets [][]Member, refused map[ids.Address]bool, copies int) bool {
	for _, set := range sets {
		open := map[ids.Address]bool{}
		for _, seat := range set {
			open[seat.Address] = !refused[seat.Address]
		}
		if len(set) > 0 && !hasQuorum(set, open, copies) {
			return true
		}
	}
	return false
}
