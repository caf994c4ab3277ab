package register

import (
	"fmt"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// restart gives a machine a new life on the disk that it has.
func (c *cluster) restart(subject *node) {
	acceptor, err := NewAcceptor(subject.address, subject.disk.records)
	if err != nil {
		c.t.Fatalf("the records of %s can't be read: %v", subject.address, err)
	}
	subject.acceptor = acceptor
	subject.disk.snapshot, subject.disk.dirty = acceptor.Snapshot, false
	subject.disk.generation++
	present := &diskSession{disk: subject.disk, cluster: c, generation: subject.disk.generation}
	defer func() { present.running = true }()
	acceptor.Attach(present)
	subject.up, subject.replaceable = true, false
	if !acceptor.Identified() && c.bootstrapped {
		c.lastIncarnation++
		// A program that can't write its identity ends; it is started again.
		subject.up = acceptor.Identify(ids.Incarnation(c.lastIncarnation)) == nil
	}
	road := clusterClient{cluster: c, from: subject.address}
	subject.proposer = NewProposer(ProposerOptions{
		Address: subject.address, Client: road, Voters: acceptor.Voters,
		HighestEpoch:   func(key string) int64 { return acceptor.Slot(key).Promised.Number },
		MessageTimeout: 1, Spawn: func(send func()) { send() }, MinCopies: c.tolerated + 1,
	})
	subject.joiner = &Joiner{
		Address: subject.address, Acceptor: acceptor, Proposer: subject.proposer, Replicas: road,
		Peers: func() []ids.Address {
			var others []ids.Address
			for _, other := range c.nodes {
				if other != subject {
					others = append(others, other.address)
				}
			}
			return others
		},
		Replaceable:      func(address ids.Address) bool { return c.find(address).replaceable },
		TargetVoters:     2*c.tolerated + 1,
		PlacementAllowed: func([]ids.Address) bool { return true },
		Spawn:            func(ask func()) { ask() },
	}
	subject.repairer = &Repairer{Joiner: subject.joiner, MinCopies: c.tolerated + 1}
}

// newCluster makes three voters and as many further machines as the seats that
// so many losses want, and one more.
func newCluster(t *rapid.T, losses int) *cluster {
	made := &cluster{t: t, scope: scope.New(scope.Options{}), partitions: map[[2]ids.Address]bool{}, tolerated: losses, faultFree: true}
	voters := VoterSet{Generation: 1}
	for _, name := range []ids.Address{"a", "b", "c"} {
		voters.Members = append(voters.Members, Member{Address: name})
	}
	for index := range 2*losses + 2 {
		subject := &node{address: ids.Address(fmt.Sprintf("%c", 'a'+index)), disk: &fakeDisk{draw: made.draw}}
		made.nodes = append(made.nodes, subject)
		made.bootstrapped = index >= 3
		made.restart(subject)
		if index < 3 {
			if err := subject.acceptor.Bootstrap(voters); err != nil {
				t.Fatal(err)
			}
		}
	}
	made.faultFree = false
	return made
}
