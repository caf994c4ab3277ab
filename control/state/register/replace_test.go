package register

import (
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
)

// TestReplacementsInEveryOrder lets as many voters as may be lost at one time
// go for good, lose their disks, or be away for a while, in every order and
// right after one another, with newcomers lost after any message of their way to
// a seat: at every moment the others serve, and a run or two of each newcomer
// makes the voters whole again.
func TestReplacementsInEveryOrder(t *testing.T) {
	for losses := 1; losses <= 2; losses++ {
		rapid.Check(t, func(t *rapid.T) {
			world := newWorld(t, losses)
			world.calm = true
			world.runs(4)
			for range rapid.IntRange(1, 4).Draw(t, "rounds") {
				world.lose(rapid.IntRange(1, losses).Draw(t, "lost"))
				world.serves("while as many are lost as may be")
				world.after, world.then = rapid.IntRange(0, 60).Draw(t, "after"), world.loseNewcomer
				world.runs(1)
				world.after = 0
				world.serves("while a newcomer is lost")
				for _, subject := range world.machines {
					if !subject.up {
						// What was taken for gone comes back as a stand-by.
						world.start(subject)
					}
				}
				world.runs(2)
				for _, seat := range world.newest().Seats {
					if holder := world.find(seat.Address); seat.Learning || !holder.acceptor.Voting() {
						t.Fatalf("the seat of %s is not filled: %+v", seat.Address, world.newest())
					}
				}
			}
		})
	}
}

// runs has every machine strive for a seat so many times.
func (w *world) runs(times int) {
	for range times {
		for _, subject := range w.machines {
			w.join(subject)
		}
	}
}

// lose brings one of the three troubles on so many voters.
func (w *world) lose(count int) {
	seats := w.newest().Seats
	first, gap := rapid.IntRange(0, len(seats)-1).Draw(w.t, "first"), rapid.IntRange(1, len(seats)-1).Draw(w.t, "gap")
	for index := range count {
		subject := w.find(seats[(first+index*gap)%len(seats)].Address)
		troubles := []func(){
			func() { subject.up, subject.gone = false, true },
			func() { subject.up, subject.gone, subject.disk.records = false, true, nil },
			func() { subject.disk.records = nil; w.start(subject) },
			func() { subject.up = false },
		}
		troubles[rapid.IntRange(0, len(troubles)-1).Draw(w.t, "trouble")]()
	}
}

// loseNewcomer takes away whoever is on its way to a seat; its disk stays or
// goes.
func (w *world) loseNewcomer() {
	for _, subject := range w.machines {
		if subject.up && subject.busy && !subject.acceptor.Voting() {
			subject.up, subject.gone = false, true
			subject.disk.born++
			if rapid.Bool().Draw(w.t, "wiped") {
				subject.disk.records = nil
			}
		}
	}
}

// serves has a change answered by whichever voter can; the first try may only
// tell voters of each other's newer generation.
func (w *world) serves(when string) {
	served := false
	for _, subject := range append(w.machines, w.machines...) {
		served = served || (subject.acceptor.Voting() && w.write(subject, false))
	}
	if !served {
		w.t.Fatalf("no change is answered %s: %+v", when, w.newest())
	}
}

// TestStuckNewcomerLosesItsSeat cuts a newcomer off right after it was seated,
// alive: another must take its place, and so must two replacements at once.
func TestStuckNewcomerLosesItsSeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, 2)
		world.calm = true
		world.runs(4)
		seats := world.newest().Seats
		for _, index := range []int{3, 4} {
			lost := world.find(seats[index].Address)
			lost.up, lost.gone = false, true
		}
		stuck := world.find("f")
		voters := world.newest()
		own := Seat{Address: "f", Incarnation: stuck.acceptor.Incarnation(), Learning: true}
		if _, err := stuck.keeper.Change(world.scope, CohortKey, stuck.joiner.seating(voters, 3, own)); err != nil {
			t.Fatal(err)
		}
		for _, other := range world.machines {
			world.cuts[[2]ids.Address{"f", other.address}] = other != stuck
		}
		spare := world.find(seats[3].Address)
		spare.disk.records = nil
		world.start(spare)
		for range patience + 2 {
			world.join(spare)
		}
		if !spare.acceptor.Voting() {
			t.Fatalf("the seats wait for a newcomer that gets nowhere: %+v", world.newest())
		}
		world.serves("with a newcomer that gets nowhere")
	})
}

// TestChangeBetweenTheLearnings has a voter that others take for gone answer
// changes at any moment of its replacement, each on the disks of one other and
// itself alone: the newcomer and the one that missed them must know of them.
func TestChangeBetweenTheLearnings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, 1)
		world.calm = true
		kept, missed, replaced, newcomer := world.machines[0], world.machines[1], world.machines[2], world.machines[3]
		world.write(replaced, false)
		replaced.gone = true
		world.cuts[[2]ids.Address{"d", "c"}] = true
		world.after = rapid.IntRange(1, 40).Draw(t, "after")
		world.then = func() {
			world.cuts[[2]ids.Address{"c", "b"}] = true
			world.write(replaced, false)
			delete(world.cuts, [2]ids.Address{"c", "b"})
		}
		world.join(newcomer)
		world.after = 0
		world.join(newcomer)
		replaced.up, kept.up = false, false
		for range 2 {
			world.write(missed, false)
			world.write(newcomer, false)
		}
		if !newcomer.acceptor.Voting() {
			t.Fatalf("the newcomer never votes: %+v", world.newest())
		}
	})
}

// TestAnsweringVoterKeepsItsSeat has a voter that others take for gone, but that
// answers the one that would take its seat.
func TestAnsweringVoterKeepsItsSeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, 1)
		world.calm = true
		world.machines[rapid.IntRange(0, 2).Draw(t, "taken for gone")].gone = true
		world.runs(3)
		if world.newest().Generation != 1 {
			t.Fatalf("a voter that answers lost its seat: %+v", world.newest())
		}
	})
}

// TestSeatOfTheTrulyGoneIsFound has two voters taken for gone, of which one
// answers: the seat of the other is found, wherever the two sit.
func TestSeatOfTheTrulyGoneIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, 2)
		world.calm = true
		world.runs(4)
		seats := world.newest().Seats
		lost := rapid.IntRange(0, len(seats)-1).Draw(t, "lost")
		there := (lost + rapid.IntRange(1, len(seats)-1).Draw(t, "there")) % len(seats)
		left, back := world.find(seats[lost].Address), world.find(seats[there].Address)
		left.up, left.gone, back.gone = false, true, true
		world.runs(4)
		if _, seated := world.newest().seat(left.address); seated {
			t.Fatalf("the seat of %s was never taken: %+v", left.address, world.newest())
		}
		if seat, seated := world.newest().seat(back.address); !seated || seat.Learning {
			t.Fatalf("%s answers and lost its seat: %+v", back.address, world.newest())
		}
	})
}
