package register

import (
	"maps"

	"onyxwell/base/ids"
	"onyxwell/base/random"
	"onyxwell/base/scope"
)

// gone tells whether a voter's seat is free: by what this machine saw itself, or
// since a majority of the voters miss it.
func (j *Joiner) gone(address ids.Address) bool {
	if back := j.back.Load(); back != nil && (*back)[address] {
		return false
	}
	away := j.away.Load()
	return (away != nil && (*away)[address]) || j.Gone(address)
}

// note notes that one which seemed gone answered in this run.
func (j *Joiner) note(address ids.Address) {
	grown := map[ids.Address]bool{address: true}
	if back := j.back.Load(); back != nil {
		maps.Copy(grown, *back)
	}
	j.back.Store(&grown)
}

// hear learns who the voters are and whom of their number they miss: a newcomer
// knows nobody for long enough to miss them itself. A majority that votes under
// the voters known here is word enough that these are the newest: a majority of
// them would hold any newer ones. All others are asked where there is none.
func (j *Joiner) hear(ctx scope.Scope) {
	j.away.Store(nil)
	for range hearings {
		voters := j.Acceptor.Voters()
		heard, contended := j.hearOfAway(ctx, voters)
		if contended && j.Answer > 0 && ctx.Wait(j.Answer/2+random.Part(j.Answer)) {
			continue
		}
		if heard {
			return
		}
		if j.Acceptor.Voters().Mark() == voters.Mark() {
			j.introduce(ctx, voters)
		}
		if j.Acceptor.Voters().Mark() == voters.Mark() {
			return
		}
	}
}

// introduce asks all other controllers for the voters. Who knows none is content
// with the first that it hears of: these know newer ones if there are any.
func (j *Joiner) introduce(ctx scope.Scope, voters Voters) {
	doubt := func(address ids.Address) bool { return voters.Generation == 0 || j.doubted(address) }
	known := func() bool { return j.Acceptor.Voters().Generation > 0 }
	gather(j, j.present(j.Others()), doubt, known, func(address ids.Address) (struct{}, bool) {
		j.LearnVoters(ctx, address)
		return struct{}{}, true
	}, func(ids.Address, struct{}) {})
}

// hearings bounds how often one run follows voters that change.
const hearings = 3

// hearOfAway asks the voters whom they miss, and tells whether a majority of
// them votes under these, and whether another is changing them just now: two that
// bid against each other both get nowhere. A bid that was seen before is one that
// was given up. Newer voters that one of them knows are learnt.
func (j *Joiner) hearOfAway(ctx scope.Scope, voters Voters) (majority bool, contended bool) {
	reports, heard, bid := map[ids.Address]int{}, 0, ids.Epoch{}
	missed := func(address ids.Address) bool {
		return j.doubted(address) || reports[address] >= quorum(len(voters.Seats))
	}
	gather(j, j.present(j.peers(voters)), missed, always, func(address ids.Address) (HeldTold, bool) {
		told, err := j.held(ctx, address)
		j.follow(ctx, address, voters, told, err)
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
	j.away.Store(&away)
	contended = bid.Number > 0 && bid.Owner != j.Address && bid != j.bid
	j.bid = bid
	return voters.Generation > 0 && heard >= quorum(len(voters.Seats)), contended
}

// follow learns the voters from one that knows others than these, and none older.
func (j *Joiner) follow(ctx scope.Scope, address ids.Address, voters Voters, told HeldTold, err error) {
	if err == nil && told.Generation >= voters.Generation && told.Mark != voters.Mark() {
		j.LearnVoters(ctx, address)
	}
}
