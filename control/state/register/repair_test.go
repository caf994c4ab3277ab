package register

import (
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
)

// survey runs a round on every machine: a voter surveys, another follows.
func (w *world) survey() {
	for _, subject := range w.machines {
		w.look(subject)
	}
}

func (w *world) look(subject *machine) {
	if !subject.up || subject.busy {
		return
	}
	subject.busy = true
	if subject.acceptor.Voting() {
		subject.survey.Round(w.scope)
	} else {
		subject.survey.Follow(w.scope)
	}
	subject.busy = false
}

func (w *world) lagging() int {
	count := 0
	for _, seat := range w.newest().Seats {
		if w.find(seat.Address).acceptor.Slot("spec").Accepted.Sequence < w.newestOf("spec").Sequence {
			count++
		}
	}
	return count
}

func (w *world) newestOf(key string) Accepted {
	var newest Accepted
	for _, subject := range w.machines {
		if held := subject.acceptor.Slot(key).Accepted; held.newer(newest) {
			newest = held
		}
	}
	return newest
}

// TestReturnedVoterIsBroughtUpToDate has a voter away during many changes: two
// rounds after its return it holds the newest of each key, without a change,
// by digests and one value; where the owner went, others take its keys over.
func TestReturnedVoterIsBroughtUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, rapid.IntRange(1, 2).Draw(t, "losses"))
		world.calm = true
		world.runs(4)
		world.survey()
		seats := world.newest().Seats
		owner, away := world.find(seats[0].Address), world.find(seats[1].Address)
		away.up = false
		for range rapid.IntRange(1, 200).Draw(t, "changes") {
			if !world.write(owner, false) {
				t.Fatal("a change is not answered with one voter away")
			}
		}
		world.survey()
		world.start(away)
		bound, epoch := 1, owner.acceptor.Slot("spec").Promised
		if rapid.Bool().Draw(t, "owner starts again") {
			world.start(owner)
			bound = 2
		} else if world.losses == 2 && rapid.Bool().Draw(t, "owner goes") {
			owner.up, bound = false, taken+2*4+1
		}
		before := world.messages
		for range bound {
			world.survey()
		}
		if world.lagging() > 0 && (owner.up || world.lagging() > 1) {
			t.Fatalf("%d voters lag after %d rounds", world.lagging(), bound)
		}
		if all := len(world.machines) * bound * (2*len(seats) + 6); world.messages-before > all {
			t.Fatalf("%d messages in %d rounds", world.messages-before, bound)
		}
		if bound == 1 && owner.acceptor.Slot("spec").Promised != epoch {
			t.Fatal("the key was taken over though its owner repairs it")
		}
		quiet := world.messages
		world.survey()
		if all := len(seats)*(len(seats)-1) + len(world.machines); owner.up && world.messages-quiet > all {
			t.Fatalf("%d messages in a round with nothing to repair, wanted %d", world.messages-quiet, all)
		}
	})
}

// TestRedundancyTold compares what is told with what is so.
func TestRedundancyTold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, 1)
		world.calm = true
		teller, lagging, third := world.machines[0], world.machines[1], world.machines[2]
		world.write(teller, false)
		world.cuts[[2]ids.Address{"a", "b"}] = true
		world.write(teller, false)
		world.cuts = map[[2]ids.Address]bool{}
		told := world.find("a").survey.look(world.scope).redundancy()
		if told.Votes != 3 || told.Bears != 1 || told.Whole || told.Keys[1].Disks != 2 || told.Keys[1].Behind[0] != lagging.address {
			t.Fatalf("told %+v", told)
		}
		third.up = false
		if told = teller.survey.Round(world.scope); told.Bears != 0 || told.Away[0] != third.address {
			t.Fatalf("told %+v with one away and one behind", told)
		}
		third.up = true
		world.survey()
		if told = teller.survey.Round(world.scope); !told.Whole || told.Bears != 1 {
			t.Fatalf("told %+v after the repair", told)
		}
	})
}

// TestLeavingHandsOn has a voter leave that, with one other, holds the newest:
// the third must hold it before it goes.
func TestLeavingHandsOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, 1)
		world.calm = true
		leaver, third := world.machines[0], world.machines[2]
		third.up = false
		world.write(world.machines[rapid.IntRange(0, 1).Draw(t, "owner")], false)
		if leaver.survey.HandOn(world.scope) {
			t.Fatal("one that leaves holds one of two copies, and takes that for enough")
		}
		third.up = true
		for tries := 0; !leaver.survey.HandOn(world.scope); tries++ {
			if tries > 2 {
				t.Fatal("what is held is not handed on")
			}
		}
		if world.lagging() > 0 {
			t.Fatal("one that left took one of two copies with it")
		}
	})
}

// TestStandByIsCloseBehind has a machine without a seat follow: it holds the
// newest of each key before any seat is free, and has voted on nothing.
func TestStandByIsCloseBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, 1)
		world.calm = true
		standBy := world.machines[3]
		world.join(standBy)
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			world.write(world.machines[0], false)
		}
		world.survey()
		held := standBy.acceptor.Slot("spec")
		if held.Accepted.Sequence != world.newestOf("spec").Sequence || held.Promised.Number != 0 {
			t.Fatalf("a stand-by holds %+v", held)
		}
	})
}
