package register

import (
	"fmt"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// start gives a machine a new life on the disk that it has.
func (w *world) start(subject *machine) {
	acceptor, err := NewAcceptor(subject.address, subject.disk.records)
	if err != nil {
		w.t.Fatalf("the records of %s can't be read: %v", subject.address, err)
	}
	subject.acceptor = acceptor
	subject.disk.whole, subject.disk.dirty = acceptor.Whole, false
	subject.disk.born++
	present := &life{disk: subject.disk, world: w, born: subject.disk.born}
	defer func() { present.running = true }()
	acceptor.Attach(present)
	subject.up, subject.gone = true, false
	if !acceptor.Identified() && w.formed {
		w.births++
		// A program that can't write its identity ends; it is started again.
		subject.up = acceptor.Identify(ids.Incarnation(w.births)) == nil
	}
	road := line{world: w, from: subject.address}
	subject.keeper = NewKeeper(Options{
		Address: subject.address, Line: road, Voters: acceptor.Voters,
		Seen:         func(key string) int64 { return acceptor.Slot(key).Promised.Number },
		MessageLimit: 1, Spawn: func(send func()) { send() }, Copies: w.losses + 1,
	})
	subject.joiner = &Joiner{
		Address: subject.address, Acceptor: acceptor, Keeper: subject.keeper, Reach: road,
		Others: func() []ids.Address {
			var others []ids.Address
			for _, other := range w.machines {
				if other != subject {
					others = append(others, other.address)
				}
			}
			return others
		},
		Gone:   func(address ids.Address) bool { return w.find(address).gone },
		Wanted: 2*w.losses + 1,
		Fits:   func([]ids.Address) bool { return true },
		Spawn:  func(ask func()) { ask() },
	}
	subject.survey = &Survey{Joiner: subject.joiner, Copies: w.losses + 1}
}

// newWorld makes three voters and as many further machines as the seats that
// so many losses want, and one more.
func newWorld(t *rapid.T, losses int) *world {
	made := &world{t: t, scope: scope.New(scope.Options{}), cuts: map[[2]ids.Address]bool{}, losses: losses, calm: true}
	voters := Voters{Generation: 1}
	for _, name := range []ids.Address{"a", "b", "c"} {
		voters.Seats = append(voters.Seats, Seat{Address: name})
	}
	for index := range 2*losses + 2 {
		subject := &machine{address: ids.Address(fmt.Sprintf("%c", 'a'+index)), disk: &disk{draw: made.draw}}
		made.machines = append(made.machines, subject)
		made.formed = index >= 3
		made.start(subject)
		if index < 3 {
			if err := subject.acceptor.Form(voters); err != nil {
				t.Fatal(err)
			}
		}
	}
	made.calm = false
	return made
}
