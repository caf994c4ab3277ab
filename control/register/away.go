package register

import (
	"maps"

	"onyxwell/base/chance"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// gone tells whether a voter's seat is free: by what this machine saw itself, or
// since a majority of the voters miss it.
func (joiner *Joiner) gone(address ids.Address) bool {
	if back := joiner.back.Load(); back != nil && (*back)[address] {
		return false
	}
	away := joiner.away.Load()
	return (away != nil && (*away)[address]) || joiner.Gone(address)
}

// note notes that one which seemed gone answered in this run.
func (joiner *Joiner) note(address ids.Address) {
	grown := map[ids.Address]bool{address: true}
	if back := joiner.back.Load(); back != nil {
		maps.Copy(grown, *back)
	}
	joiner.back.Store(&grown)
}

// hear learns who the voters are and whom of their number they miss: a newcomer
// knows nobody for long enough to miss them itself. A majority that votes under
// the voters known here is word enough that these are the newest: a majority of
// them would hold any newer ones. All others are asked where there is none.
func (joiner *Joiner) hear(inner scope.Scope) {
	joiner.away.Store(nil)
	for range hearings {
		voters := joiner.Acceptor.Voters()
		heard, contended := joiner.hearOfAway(inner, voters)
		if contended && joiner.Answer > 0 && inner.Wait(joiner.Answer/2+chance.Part(joiner.Answer)) {
			continue
		}
		if heard {
			return
		}
		if joiner.Acceptor.Voters().Mark() == voters.Mark() {
			joiner.introduce(inner, voters)
		}
		if joiner.Acceptor.Voters().Mark() == voters.Mark() {
			return
		}
	}
}

// introduce asks all other controllers for the voters. Who knows none is content
// with the first that it hears of: these know newer ones if there are any.
func (joiner *Joiner) introduce(inner scope.Scope, voters Voters) {
	doubt := func(address ids.Address) bool { return voters.Generation == 0 || joiner.doubted(address) }
	known := func() bool { return joiner.Acceptor.Voters().Generation > 0 }
	gather(joiner, joiner.present(joiner.Others()), doubt, known, func(address ids.Address) (struct{}, bool) {
		joiner.LearnVoters(inner, address)
		return struct{}{}, true
	}, func(ids.Address, struct{}) {})
}

// hearings bounds how often one run follows voters that change.
const hearings = 3

// hearOfAway asks the voters whom they miss, and tells whether a majority of
// them votes under these, and whether another is changing them just now: two that
// bid against each other both get nowhere. A bid that was seen before is one that
// was given up. Newer voters that one of them knows are learnt.
func (joiner *Joiner) hearOfAway(inner scope.Scope, voters Voters) (majority bool, contended bool) {
	reports, heard, bid := map[ids.Address]int{}, 0, ids.Epoch{}
	missed := func(address ids.Address) bool {
		return joiner.doubted(address) || reports[address] >= quorum(len(voters.Seats))
	}
	gather(joiner, joiner.present(joiner.peers(voters)), missed, always, func(address ids.Address) (HeldTold, bool) {
		told, err := joiner.held(inner, address)
		joiner.follow(inner, address, voters, told, err)
		return told, err == nil && told.Voting
	}, func(_ ids.Address, told HeldTold) {
		if told.Mark == voters.Mark() {
			heard++
		}
		if cohort := told.held(CohortKey); cohort.Promised != cohort.Epoch && cohort.Promised.Compare(bid) > 0 {
			bid = cohort.Promised
		}
		for _, missed := range told.Away {
			reports[missed]++
		}
	})
	away := map[ids.Address]bool{}
	for address, count := range reports {
		away[address] = count >= quorum(len(voters.Seats))
	}
	joiner.away.Store(&away)
	contended = bid.Number > 0 && bid.Owner != joiner.Address && bid != joiner.bid
	joiner.bid = bid
	return voters.Generation > 0 && heard >= quorum(len(voters.Seats)), contended
}

// follow learns the voters from one that knows others than these, and none older.
func (joiner *Joiner) follow(inner scope.Scope, address ids.Address, voters Voters, told HeldTold, err error) {
	if err == nil && told.Generation >= voters.Generation && told.Mark != voters.Mark() {
		joiner.LearnVoters(inner, address)
	}
}
