package register

import (
	"errors"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

var errMessageLost = errors.New("model: the message was lost")

// fakeDisk is a simulated disk: what was synced outlives everything but a wipe. A
// refused save may or may not have reached it; the save after a refused one
// writes the whole state, as the journal does.
type fakeDisk struct {
	records    [][]byte
	failing    bool
	dirty      bool
	generation int
	snapshot   func() [][]byte
	draw       func(odds int) bool
}

func (f *fakeDisk) Save(record []byte) error {
	if f.failing {
		f.dirty = true
		if f.draw(2) {
			f.records = append(f.records, record)
		}
		return errors.New("model: the disk refuses")
	}
	f.records = append(f.records, record)
	if f.dirty {
		f.records, f.dirty = f.snapshot(), false
	}
	return nil
}

// diskSession is a disk as one life of a program sees it. While a save is under way
// other things may happen, the program's own death among them; what was not
// synced by then is lost.
type diskSession struct {
	disk       *fakeDisk
	cluster    *cluster
	generation int
	// running says that the program is past its start.
	running bool
}

func (d *diskSession) Save(record []byte) error {
	if d.running && d.cluster.eventDepth < 2 && d.cluster.draw(10) {
		d.cluster.eventDepth++
		d.cluster.randomEvent()
		d.cluster.eventDepth--
	}
	if d.generation != d.disk.generation {
		return errors.New("model: the program ended before the sync")
	}
	return d.disk.Save(record)
}

// node is one simulated controller.
type node struct {
	address     ids.Address
	disk        *fakeDisk
	acceptor    *Acceptor
	proposer    *Proposer
	joiner      *Joiner
	repairer    *Repairer
	up          bool
	replaceable bool
	busy        bool
}

// cluster is a simulated network of controllers.
type cluster struct {
	t               *rapid.T
	scope           scope.Scope
	nodes           []*node
	partitions      map[[2]ids.Address]bool
	eventDepth      int
	lastIncarnation int64
	bootstrapped    bool
	// acknowledged is the longest history that was acknowledged.
	acknowledged string
	writes       int
	// delayed are messages that are still under way.
	delayed []func()
	// messages counts what was sent from one machine to another.
	messages  int
	faultFree bool
	// After so many messages more, then comes in between.
	hookAfter int
	hook      func()
	// tolerated is how many disks may be lost at one time.
	tolerated int
}

func (c *cluster) draw(odds int) bool {
	return !c.faultFree && rapid.IntRange(0, odds-1).Draw(c.t, "chance") == 0
}

func (c *cluster) find(address ids.Address) *node {
	for _, found := range c.nodes {
		if found.address == address {
			return found
		}
	}
	return nil
}

// deliver brings a message from one machine to another, or loses it or its
// answer; on the way, something else may happen.
func deliver[Told any](world *cluster, from ids.Address, to ids.Address, act func(*Acceptor) Told) (Told, error) {
	var nothing Told
	if world.eventDepth < 2 && world.draw(8) {
		world.eventDepth++
		world.randomEvent()
		world.eventDepth--
	}
	if from != to {
		world.messages++
	}
	if world.hookAfter--; world.hookAfter == 0 {
		world.hook()
	}
	target := world.find(to)
	if target == nil || !target.up || world.partitions[[2]ids.Address{from, to}] || (from != to && world.draw(12)) {
		if target != nil && world.draw(3) {
			// Not lost, but late: it comes when nobody waits for an answer any more.
			world.delayed = append(world.delayed, func() {
				if target.up {
					act(target.acceptor)
				}
			})
		}
		return nothing, errMessageLost
	}
	life := target.acceptor
	told := act(life)
	if target.acceptor != life {
		return nothing, errMessageLost
	}
	if world.partitions[[2]ids.Address{to, from}] || (from != to && world.draw(12)) {
		return nothing, errMessageLost
	}
	return told, nil
}

// clusterClient is a machine's way to the others.
type clusterClient struct {
	cluster *cluster
	from    ids.Address
}

func (c clusterClient) reconcile(address ids.Address, verdict Verdict, theirs int64, err error) {
	if err == nil && verdict == Fenced && address != c.from {
		c.cluster.find(c.from).joiner.ReconcileVoters(c.cluster.scope, address, theirs)
	}
}

func (c clusterClient) Promise(_ scope.Scope, address ids.Address, asked PrepareRequest) (PrepareResponse, error) {
	told, err := deliver(c.cluster, c.from, address, func(voter *Acceptor) PrepareResponse { return voter.Prepare(asked) })
	c.reconcile(address, told.Verdict, told.Generation, err)
	return told, err
}

func (c clusterClient) Accept(_ scope.Scope, address ids.Address, asked AcceptRequest) (AcceptResponse, error) {
	told, err := deliver(c.cluster, c.from, address, func(voter *Acceptor) AcceptResponse { return voter.Accept(asked) })
	c.reconcile(address, told.Verdict, told.Generation, err)
	return told, err
}

func (c clusterClient) Confirm(_ scope.Scope, address ids.Address, asked ConfirmRequest) (AcceptResponse, error) {
	told, err := deliver(c.cluster, c.from, address, func(voter *Acceptor) AcceptResponse { return voter.Confirm(asked) })
	c.reconcile(address, told.Verdict, told.Generation, err)
	return told, err
}

func (c clusterClient) Copy(_ scope.Scope, address ids.Address, asked FetchRequest) (FetchResponse, error) {
	return deliver(c.cluster, c.from, address, func(voter *Acceptor) FetchResponse { return voter.Fetch(asked) })
}

func (c clusterClient) Held(_ scope.Scope, address ids.Address) (DigestResponse, error) {
	return deliver(c.cluster, c.from, address, func(voter *Acceptor) DigestResponse { return voter.Digest() })
}

func (c clusterClient) Learn(_ scope.Scope, address ids.Address, slots []Slot) error {
	err, lost := deliver(c.cluster, c.from, address, func(voter *Acceptor) error { return voter.Learn(slots) })
	return errors.Join(err, lost)
}
