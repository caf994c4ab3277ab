package register

import (
	"errors"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

var errLost = errors.New("model: the message was lost")

// disk is a simulated disk: what was synced outlives everything but a wipe. A
// refused save may or may not have reached it; the save after a refused one
// writes the whole state, as the journal does.
type disk struct {
	records [][]byte
	refuses bool
	dirty   bool
	born    int
	whole   func() [][]byte
	draw    func(odds int) bool
}

func (d *disk) Save(record []byte) error {
	if d.refuses {
		d.dirty = true
		if d.draw(2) {
			d.records = append(d.records, record)
		}
		return errors.New("model: the disk refuses")
	}
	d.records = append(d.records, record)
	if d.dirty {
		d.records, d.dirty = d.whole(), false
	}
	return nil
}

// life is a disk as one life of a program sees it. While a save is under way
// other things may happen, the program's own death among them; what was not
// synced by then is lost.
type life struct {
	disk  *disk
	world *world
	born  int
	// running says that the program is past its start.
	running bool
}

func (l *life) Save(record []byte) error {
	if l.running && l.world.depth < 2 && l.world.draw(10) {
		l.world.depth++
		l.world.happen()
		l.world.depth--
	}
	if l.born != l.disk.born {
		return errors.New("model: the program ended before the sync")
	}
	return l.disk.Save(record)
}

// machine is one simulated controller.
type machine struct {
	address  ids.Address
	disk     *disk
	acceptor *Acceptor
	keeper   *Keeper
	joiner   *Joiner
	survey   *Survey
	up       bool
	gone     bool
	busy     bool
}

// world is a simulated network of controllers.
type world struct {
	t        *rapid.T
	scope    scope.Scope
	machines []*machine
	cuts     map[[2]ids.Address]bool
	depth    int
	births   int64
	formed   bool
	// acked is the longest history that was acknowledged.
	acked  string
	writes int
	// late are messages that are still under way.
	late []func()
	// messages counts what was sent from one machine to another.
	messages int
	calm     bool
	// After so many messages more, then comes in between.
	after int
	then  func()
	// losses is how many disks may be lost at one time.
	losses int
}

func (w *world) draw(odds int) bool {
	return !w.calm && rapid.IntRange(0, odds-1).Draw(w.t, "chance") == 0
}

func (w *world) find(address ids.Address) *machine {
	for _, found := range w.machines {
		if found.address == address {
			return found
		}
	}
	return nil
}

// carry brings a message from one machine to another, or loses it or its
// answer; on the way, something else may happen.
func carry[Told any](world *world, from ids.Address, to ids.Address, act func(*Acceptor) Told) (Told, error) {
	var nothing Told
	if world.depth < 2 && world.draw(8) {
		world.depth++
		world.happen()
		world.depth--
	}
	if from != to {
		world.messages++
	}
	if world.after--; world.after == 0 {
		world.then()
	}
	target := world.find(to)
	if target == nil || !target.up || world.cuts[[2]ids.Address{from, to}] || (from != to && world.draw(12)) {
		if target != nil && world.draw(3) {
			// Not lost, but late: it comes when nobody waits for an answer any more.
			world.late = append(world.late, func() {
				if target.up {
					act(target.acceptor)
				}
			})
		}
		return nothing, errLost
	}
	life := target.acceptor
	told := act(life)
	if target.acceptor != life {
		return nothing, errLost
	}
	if world.cuts[[2]ids.Address{to, from}] || (from != to && world.draw(12)) {
		return nothing, errLost
	}
	return told, nil
}

// line is a machine's way to the others.
type line struct {
	world *world
	from  ids.Address
}

func (l line) mend(address ids.Address, verdict Verdict, theirs int64, err error) {
	if err == nil && verdict == Misfenced && address != l.from {
		l.world.find(l.from).joiner.Mend(l.world.scope, address, theirs)
	}
}

func (l line) Promise(_ scope.Scope, address ids.Address, asked PromiseAsk) (PromiseTold, error) {
	told, err := carry(l.world, l.from, address, func(voter *Acceptor) PromiseTold { return voter.Promise(asked) })
	l.mend(address, told.Verdict, told.Generation, err)
	return told, err
}

func (l line) Accept(_ scope.Scope, address ids.Address, asked AcceptAsk) (AcceptTold, error) {
	told, err := carry(l.world, l.from, address, func(voter *Acceptor) AcceptTold { return voter.Accept(asked) })
	l.mend(address, told.Verdict, told.Generation, err)
	return told, err
}

func (l line) Confirm(_ scope.Scope, address ids.Address, asked ConfirmAsk) (AcceptTold, error) {
	told, err := carry(l.world, l.from, address, func(voter *Acceptor) AcceptTold { return voter.Confirm(asked) })
	l.mend(address, told.Verdict, told.Generation, err)
	return told, err
}

func (l line) Copy(_ scope.Scope, address ids.Address, asked CopyAsk) (CopyTold, error) {
	return carry(l.world, l.from, address, func(voter *Acceptor) CopyTold { return voter.Copy(asked) })
}

func (l line) Held(_ scope.Scope, address ids.Address) (HeldTold, error) {
	return carry(l.world, l.from, address, func(voter *Acceptor) HeldTold { return voter.Held() })
}

func (l line) Learn(_ scope.Scope, address ids.Address, slots []Slot) error {
	err, lost := carry(l.world, l.from, address, func(voter *Acceptor) error { return voter.Learn(slots) })
	return errors.Join(err, lost)
}
