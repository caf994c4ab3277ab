package register

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
)

// write adds a mark to the history under the key, or only reads it, and checks
// what the outcome says against all that was acknowledged before it began.
func (w *world) write(subject *machine, reads bool) bool {
	if !subject.up || subject.busy {
		return false
	}
	subject.busy = true
	defer func() { subject.busy = false }()
	before := w.acked
	w.writes++
	mark := string(rune('A'+w.writes%26)) + string(subject.address) + ";"
	keeper := subject.keeper
	value, err := keeper.Change(w.scope, "spec", func(current []byte) ([]byte, error) {
		if reads {
			return nil, nil
		}
		return append(append([]byte(nil), current...), mark...), nil
	})
	if err != nil {
		return false
	}
	if !strings.HasPrefix(string(value), before) {
		w.t.Fatalf("acknowledged %q is gone: %s now answers %q", before, subject.address, value)
	}
	if !strings.HasPrefix(string(value), w.acked) && !strings.HasPrefix(w.acked, string(value)) {
		w.t.Fatalf("two histories were acknowledged: %q and %q", w.acked, value)
	}
	if len(value) > len(w.acked) {
		w.acked = string(value)
	}
	return true
}

// bearable tells whether one more disk may be lost: a majority of the seats is
// left that is up, whole, and knows the same voters; where the seats are all
// there, that is as many disks at one time as may be lost. One that is back but
// that others still take for gone counts as lost itself: a machine does so for
// some seconds after its return, and its seat may just be taken.
func (w *world) bearable(subject *machine) bool {
	whole := 0
	for _, other := range w.machines {
		if other == subject {
			continue
		}
		seat, seated := w.newest().seat(other.address)
		sound := other.up && !other.gone && !seat.Learning && seat.Incarnation == other.acceptor.Incarnation()
		if seated && sound && other.acceptor.Voters().Mark() == w.newest().Mark() {
			whole++
		}
	}
	return whole >= quorum(len(w.newest().Seats))
}

func (w *world) newest() Voters {
	var newest Accepted
	voters := Voters{}
	for _, other := range w.machines {
		if held := other.acceptor.Slot(CohortKey).Accepted; held.newer(newest) {
			newest, voters = held, other.acceptor.Voters()
		}
	}
	return voters
}

// happen lets one thing happen anywhere.
func (w *world) happen() {
	subject := w.machines[rapid.IntRange(0, len(w.machines)-1).Draw(w.t, "machine")]
	other := w.machines[rapid.IntRange(0, len(w.machines)-1).Draw(w.t, "other")]
	events := []func(){
		func() { w.write(subject, false) },
		func() { w.write(subject, false) },
		func() { w.write(subject, true) },
		func() { w.join(subject) },
		func() { w.join(subject) },
		func() { w.look(subject) },
		func() { w.look(subject) },
		func() {
			// A message comes late, perhaps once more later.
			if len(w.late) > 0 {
				w.late[rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late")]()
			}
		},
		func() {
			// Killed, with what the disk holds, and back.
			if !subject.busy {
				w.start(subject)
			}
		},
		func() {
			// The disk is lost; it must be the only one of the voters' disks.
			if !subject.busy && w.bearable(subject) {
				subject.disk.records = nil
				w.start(subject)
			}
		},
		func() { subject.disk.refuses = !subject.disk.refuses },
		func() { subject.up = !subject.up },
		func() { subject.gone = !subject.up },
		func() { w.cuts[[2]ids.Address{subject.address, other.address}] = subject != other },
		func() { w.cuts = map[[2]ids.Address]bool{} },
	}
	events[rapid.IntRange(0, len(events)-1).Draw(w.t, "event")]()
}

func (w *world) join(subject *machine) {
	if !subject.up || subject.busy || subject.acceptor.Voting() {
		return
	}
	subject.busy = true
	_ = subject.joiner.Join(w.scope)
	subject.busy = false
}

// TestNothingAcknowledgedIsLost lets machines be killed, wiped, cut off, taken
// out and brought in, with disks that refuse and owners that duel: what was
// acknowledged stays, and of two changes on one value only one wins.
func TestNothingAcknowledgedIsLost(t *testing.T) {
	for losses := 1; losses <= 2; losses++ {
		rapid.Check(t, func(t *rapid.T) {
			world := newWorld(t, losses)
			for range rapid.IntRange(5, 60).Draw(t, "length") {
				world.happen()
			}
			world.settle()
		})
	}
}

// settle ends all trouble; within some rounds the key must be served again.
func (w *world) settle() {
	w.calm = true
	w.cuts = map[[2]ids.Address]bool{}
	for _, subject := range w.machines {
		subject.disk.refuses = false
		subject.up, subject.gone = true, false
	}
	served := false
	for range 8 {
		for _, subject := range w.machines {
			w.join(subject)
		}
		for _, subject := range w.machines {
			served = w.write(subject, false) || served
		}
	}
	for _, seat := range w.newest().Seats {
		if holder := w.find(seat.Address); seat.Learning || !holder.acceptor.Voting() {
			w.t.Fatalf("the seat of %s is not filled after all trouble ended: %+v", seat.Address, w.newest())
		}
	}
	if !served {
		w.t.Fatalf("the key is not served after all trouble ended: %+v", w.newest())
	}
}

// TestStaleOwnerIsFenced has an owner freeze, another take over, and the first
// come back: its write must not be acknowledged on top of the other's.
func TestStaleOwnerIsFenced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, 1)
		world.calm = true
		first, second := world.machines[0], world.machines[1]
		if !world.write(first, false) || !world.write(second, false) {
			t.Fatal("a calm write failed")
		}
		value, err := first.keeper.Read(world.scope, "spec")
		if err == nil && !strings.HasPrefix(string(value), world.acked) {
			t.Fatalf("a fenced owner read %q after %q was acknowledged", value, world.acked)
		}
		if !world.write(first, false) {
			t.Fatal("the key can't be taken back")
		}
	})
}

// TestLostDiskLearnsFirst wipes a voter right after its vote made a majority:
// it may vote again only once it learnt from both others.
func TestLostDiskLearnsFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWorld(t, 1)
		world.calm = true
		world.machines[2].up = false
		if !world.write(world.machines[0], false) {
			t.Fatal("a write on two of three failed")
		}
		wiped := world.machines[0]
		wiped.disk.records = nil
		world.start(wiped)
		world.machines[1].up = false
		world.machines[2].up = true
		world.join(wiped)
		if world.write(world.machines[2], false) {
			t.Fatal("a blank disk and one that missed the write made a majority")
		}
		world.machines[1].up = true
		for range 4 {
			world.join(wiped)
		}
		if !wiped.acceptor.Voting() {
			t.Fatal("the new disk never got its seat")
		}
		if !world.write(world.machines[2], false) {
			t.Fatal("the key is not served")
		}
	})
}
