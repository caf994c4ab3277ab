package register

import (
	"fmt"
	"strings"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// node is one simulated controller.
type node struct {
	address  ids.Address
	disk     *fakeDisk
	acceptor *Acceptor
	proposer *Proposer
	joiner   *Joiner
	repairer *Repairer
	up       bool
	// replaceable means that the other nodes consider this one lost.
	replaceable bool
	// busy means that an operation of this node is in progress.
	busy bool
}

// cluster is a network of controllers simulated on one goroutine. All randomness
// is drawn from rapid.
type cluster struct {
	t               *rapid.T
	ctx             scope.Scope
	nodes           []*node
	partitions      map[[2]ids.Address]bool
	eventDepth      int
	lastIncarnation int64
	bootstrapped    bool
	// acknowledged is the longest acknowledged history of the test's key.
	acknowledged string
	writes       int
	// delayed are requests that are still in transit.
	delayed []func()
	// messages counts the requests from one node to another.
	messages  int
	faultFree bool
	// hook runs once, before the hookAfter-th message from now.
	hookAfter int
	hook      func()
	// tolerableLosses is the number of disks that may be lost at one time.
	tolerableLosses int
}

// newCluster starts three voters, as many standbys as complete the voter set that
// tolerates the given number of losses, and one more standby.
func newCluster(t *rapid.T, losses int) *cluster {
	c := &cluster{t: t, ctx: scope.New(scope.Options{}), partitions: map[[2]ids.Address]bool{}, tolerableLosses: losses, faultFree: true}
	voters := VoterSet{Generation: 1}
	for _, name := range []ids.Address{"a", "b", "c"} {
		voters.Members = append(voters.Members, Member{Address: name})
	}
	for index := range 2*losses + 2 {
		n := &node{address: ids.Address(fmt.Sprintf("%c", 'a'+index)), disk: &fakeDisk{oneIn: c.oneIn}}
		c.nodes = append(c.nodes, n)
		c.bootstrapped = index >= 3
		c.restart(n)
		if index < 3 {
			if err := n.acceptor.Bootstrap(voters); err != nil {
				t.Fatal(err)
			}
		}
	}
	c.faultFree = false
	return c
}

// newFaultFreeCluster returns a cluster without random faults; the test injects
// its own.
func newFaultFreeCluster(t *rapid.T, losses int) *cluster {
	c := newCluster(t, losses)
	c.faultFree = true
	return c
}

// restart starts a new process of the node on the node's disk.
func (c *cluster) restart(n *node) {
	acceptor, err := newAcceptor(n.address, n.disk.records, 0)
	if err != nil {
		c.t.Fatalf("the records of node %s can't be decoded: %v", n.address, err)
	}
	n.acceptor = acceptor
	n.disk.snapshot, n.disk.dirty = acceptor.Snapshot, false
	n.disk.generation++
	session := &diskSession{disk: n.disk, cluster: c, generation: n.disk.generation}
	defer func() { session.running = true }()
	acceptor.Attach(session)
	n.up, n.replaceable = true, false
	if !acceptor.Identified() && c.bootstrapped {
		c.lastIncarnation++
		// A process that can't save its incarnation exits and is restarted later.
		n.up = acceptor.Identify(ids.Incarnation(c.lastIncarnation)) == nil
	}
	client := clusterClient{cluster: c, from: n.address}
	n.proposer = NewProposer(ProposerOptions{
		Clock: c.ctx.Clock, Log: c.ctx.Log,
		Address: n.address, Client: client, Voters: acceptor.Voters,
		HighestEpoch:   func(key string) int64 { return acceptor.Slot(key).Promised.Number },
		MessageTimeout: 1, Spawn: func(send func()) { send() }, MinCopies: c.tolerableLosses + 1,
	})
	n.joiner = &Joiner{
		Clock:   c.ctx.Clock,
		Address: n.address, Acceptor: acceptor, Proposer: n.proposer, Replicas: client,
		Peers: func() []ids.Address {
			var others []ids.Address
			for _, other := range c.nodes {
				if other != n {
					others = append(others, other.address)
				}
			}
			return others
		},
		Replaceable:      func(address ids.Address) bool { return c.find(address).replaceable },
		TargetVoters:     2*c.tolerableLosses + 1,
		PlacementAllowed: func([]ids.Address) bool { return true },
		Spawn:            func(send func()) { send() },
	}
	n.repairer = &Repairer{Joiner: n.joiner, MinCopies: c.tolerableLosses + 1}
}

// oneIn returns true with a probability of 1/n, or never in a fault-free cluster.
func (c *cluster) oneIn(n int) bool {
	return !c.faultFree && rapid.IntRange(0, n-1).Draw(c.t, "chance") == 0
}

func (c *cluster) find(address ids.Address) *node {
	for _, n := range c.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// currentVoters returns the newest voter set that any node holds.
func (c *cluster) currentVoters() VoterSet {
	var newest Proposal
	voters := VoterSet{}
	for _, other := range c.nodes {
		if held := other.acceptor.Slot(VotersKey).Accepted; held.newerThan(newest) {
			newest, voters = held, other.acceptor.Voters()
		}
	}
	return voters
}

// newestProposal returns the newest proposal that any node holds for the key.
func (c *cluster) newestProposal(key string) Proposal {
	var newest Proposal
	for _, n := range c.nodes {
		if held := n.acceptor.Slot(key).Accepted; held.newerThan(newest) {
			newest = held
		}
	}
	return newest
}

// countLagging counts the voters that lack the newest proposal of the test's key.
func (c *cluster) countLagging() int {
	count := 0
	for _, member := range c.currentVoters().Members {
		if c.find(member.Address).acceptor.Slot("spec").Accepted.Sequence < c.newestProposal("spec").Sequence {
			count++
		}
	}
	return count
}

// update appends an entry to the history stored under the test's key, or only
// reads it if reads is true. It fails the test if the result lacks an entry that
// was acknowledged before, and reports whether the call was acknowledged.
func (c *cluster) update(n *node, reads bool) bool {
	if !n.up || n.busy {
		return false
	}
	n.busy = true
	defer func() { n.busy = false }()
	before := c.acknowledged
	c.writes++
	entry := string(rune('A'+c.writes%26)) + string(n.address) + ";"
	value, err := n.proposer.Update(c.ctx, "spec", func(current []byte) ([]byte, error) {
		if reads {
			return nil, nil
		}
		return append(append([]byte(nil), current...), entry...), nil
	})
	if err != nil {
		return false
	}
	if !strings.HasPrefix(string(value), before) {
		c.t.Fatalf("acknowledged history %q was lost: node %s now returns %q", before, n.address, value)
	}
	if !strings.HasPrefix(string(value), c.acknowledged) && !strings.HasPrefix(c.acknowledged, string(value)) {
		c.t.Fatalf("two diverging histories were acknowledged: %q and %q", c.acknowledged, value)
	}
	if len(value) > len(c.acknowledged) {
		c.acknowledged = string(value)
	}
	return true
}

// checkHasValue fails the test if a node finds that the test's key has no value although
// an update was acknowledged before it asked.
func (c *cluster) checkHasValue(n *node) {
	if !n.up || n.busy {
		return
	}
	n.busy = true
	defer func() { n.busy = false }()
	acknowledged := c.acknowledged
	if ok, err := n.proposer.HasValue(c.ctx, "spec"); err == nil && !ok && acknowledged != "" {
		c.t.Fatalf("node %s finds no value, %q was acknowledged before", n.address, acknowledged)
	}
}

// requireServing fails the test unless some voter gets an update acknowledged.
// Every node is tried twice, as the first attempt may only propagate a newer voter
// set.
func (c *cluster) requireServing(when string) {
	served := false
	for _, n := range append(c.nodes, c.nodes...) {
		served = served || (n.acceptor.Voting() && c.update(n, false))
	}
	if !served {
		c.t.Fatalf("no update was acknowledged %s, voters %+v", when, c.currentVoters())
	}
}

// join runs the joiner of a node, unless the node votes already.
func (c *cluster) join(n *node) {
	if !n.up || n.busy || n.acceptor.Voting() {
		return
	}
	n.busy = true
	_ = n.joiner.Join(c.ctx)
	n.busy = false
}

// joinAll runs the joiner of every node the given number of times.
func (c *cluster) joinAll(times int) {
	for range times {
		for _, n := range c.nodes {
			c.join(n)
		}
	}
}

// repairRound runs a round of a voter's repairer, or CatchUp on a standby.
func (c *cluster) repairRound(n *node) {
	if !n.up || n.busy {
		return
	}
	n.busy = true
	if n.acceptor.Voting() {
		n.repairer.Round(c.ctx)
	} else {
		n.repairer.CatchUp(c.ctx)
	}
	n.busy = false
}

// repairAll runs a repair round on every node.
func (c *cluster) repairAll() {
	for _, n := range c.nodes {
		c.repairRound(n)
	}
}
