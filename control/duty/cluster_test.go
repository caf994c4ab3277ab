package duty

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/proptest"
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

func TestMain(m *testing.M) { proptest.Run(m) }

const (
	testTTL      = 1500 * time.Millisecond
	testHandOver = 3 * time.Second
	testStep     = 50 * time.Millisecond
)

var (
	errUnreachable = errors.New("unreachable")
	testParts      = []Part{UsagePart, SizePart("z1"), SizePart("z2")}
)

// cluster simulates controllers with their sessions and assigners on one fake clock, a correct
// lease and store, and a platform that accepts every call and checks it.
type cluster struct {
	clock   *clock.Fake
	random  *rand.Rand
	nodes   []*node
	options clusterOptions
	// stored is the register value.
	stored []byte
	// leaseHolder is the index of the controller that holds the lease until leaseExpiry under
	// leaseEpoch, or -1 before the first lease.
	leaseHolder int
	leaseExpiry clock.Instant
	leaseEpoch  int64
	platform    callChecker
	// acceptedCalls counts the calls that the platform accepted.
	acceptedCalls int
}

// clusterOptions inject defects into the protocol. The zero value injects none.
type clusterOptions struct {
	handOver time.Duration
	// sessionTTL is the session TTL that holders assume.
	sessionTTL time.Duration
	// losesParts has the store lose all records whenever another assigner takes over.
	losesParts bool
	// allHoldLease has every controller believe that it holds the lease.
	allHoldLease bool
}

// node is a simulated controller.
type node struct {
	cluster     *cluster
	index       int
	incarnation int64
	session     *Session
	assigner    *Assigner
	// A down node does nothing. A frozen node does nothing either, but resumes with its state.
	down, frozen bool
	// A partitioned node cannot communicate with others. If losesResponses is set, requests
	// from and to the node are handled, but their responses are lost.
	partitioned, losesResponses bool
	// platformUnreachable has the node's calls to the platform fail.
	platformUnreachable bool
	// leaseUntil is the time until which the node believes that it holds the lease.
	leaseUntil clock.Instant
	leaseEpoch int64
	wallShift  time.Duration
}

func newCluster(seed uint64, size int, options clusterOptions) *cluster {
	if options.handOver == 0 {
		options.handOver = testHandOver
	}
	if options.sessionTTL == 0 {
		options.sessionTTL = testTTL
	}
	c := &cluster{clock: clock.NewFake(), random: rand.New(rand.NewPCG(seed, 2)), options: options, leaseHolder: -1}
	for index := range size {
		n := &node{cluster: c, index: index}
		c.nodes = append(c.nodes, n)
		n.start()
	}
	return c
}

func (n *node) address() ids.Address { return ids.Address(fmt.Sprintf("c%d", n.index)) }

func (n *node) wall() time.Time {
	return time.Unix(1_700_000_000, 0).Add(time.Duration(n.cluster.clock.Now()) + n.wallShift)
}

// start starts the controller, or restarts it as a new incarnation.
func (n *node) start() {
	c := n.cluster
	n.incarnation, n.down, n.frozen = c.random.Int64(), false, false
	n.leaseUntil = 0
	lease := func(now clock.Instant) (int64, bool) {
		return n.leaseEpoch, c.options.allHoldLease || now.Before(n.leaseUntil)
	}
	n.assigner = NewAssigner(AssignerOptions{
		Clock: c.clock, Wall: n.wall, Address: n.address(), Parts: testParts, TTL: testTTL, HandOverDelay: c.options.handOver,
		AssignerLease: lease, Update: n.update, Publish: func(gossip.Item) {}, NewSerial: func(epoch, counter int64) ids.Version { return ids.Version(counter) },
	})
	n.session = NewSession(SessionOptions{
		Clock: c.clock, Wall: n.wall, Address: n.address(), Zone: ids.Zone(fmt.Sprintf("z%d", n.index)), Incarnation: n.incarnation,
		TTL: c.options.sessionTTL, MaxDrift: 100 * time.Millisecond, Eligible: func() bool { return true }, AssignerCandidates: c.addresses,
		AssignerLease: lease, ProbePlatform: func(context.Context) bool { return !n.platformUnreachable }, Send: n.send,
	})
}

func (c *cluster) addresses() (addresses []ids.Address) {
	for _, n := range c.nodes {
		addresses = append(addresses, n.address())
	}
	return addresses
}

// send simulates the transport: it delivers a heartbeat unless a fault prevents this.
func (n *node) send(_ context.Context, to ids.Address, req SessionRequest) (SessionResponse, error) {
	for _, other := range n.cluster.nodes {
		if other.address() != to {
			continue
		}
		if other != n && (n.partitioned || other.partitioned || other.down || other.frozen) {
			return SessionResponse{}, errUnreachable
		}
		resp := other.assigner.Renew(req, n.cluster.clock.Now())
		if other != n && (other.losesResponses || n.losesResponses) {
			return SessionResponse{}, errUnreachable
		}
		return resp, nil
	}
	return SessionResponse{}, errUnreachable
}

// update simulates the register. A partitioned controller reaches no majority. With
// losesResponses, the value is stored but the response is lost.
func (n *node) update(_ context.Context, _ string, update UpdateFunc) ([]byte, error) {
	if n.partitioned {
		return nil, errUnreachable
	}
	current := slices.Clone(n.cluster.stored)
	if n.cluster.options.losesParts {
		current = n.cluster.withoutParts(current)
	}
	next, err := update(current)
	if err != nil {
		return nil, err
	}
	if next == nil {
		return n.cluster.stored, nil
	}
	n.cluster.stored = next
	if n.losesResponses {
		return nil, errUnreachable
	}
	return next, nil
}

// withoutParts returns a stored assignment without its parts if it was written under another
// epoch than the current one.
func (c *cluster) withoutParts(value []byte) []byte {
	assignment, err := transport.UnmarshalStored[Assignment](AssignmentKey, value)
	if err != nil || assignment.Epoch == c.leaseEpoch {
		return value
	}
	assignment.Parts = nil
	value, _ = transport.Marshal(assignment)
	return value
}

// step advances the simulation by testStep: the lease, and then, in random order, each
// controller and the calls that it may make.
func (c *cluster) step() {
	c.clock.Advance(testStep)
	c.renewLease()
	for _, index := range c.random.Perm(len(c.nodes)) {
		n := c.nodes[index]
		if n.down || n.frozen {
			continue
		}
		if c.random.IntN(4) == 0 {
			n.assigner.Step(context.Background())
		}
		if c.random.IntN(4) == 0 {
			n.session.Probe(context.Background())
			n.session.Renew(context.Background())
		}
		for _, part := range testParts {
			n.makeCall(part)
		}
	}
}

// renewLease renews the lease if its holder reaches a majority. Once it has expired, it is
// granted to a random controller that does. The holder's view of the lease expires earlier, to
// allow for clock drift.
func (c *cluster) renewLease() {
	now := c.clock.Now()
	if c.leaseHolder >= 0 && now.Before(c.leaseExpiry) {
		if holder := c.nodes[c.leaseHolder]; !holder.down && !holder.frozen && !holder.partitioned && now.Before(holder.leaseUntil) {
			c.leaseExpiry, holder.leaseUntil = now.Add(testTTL), now.Add(testTTL*9/10)
		}
		return
	}
	index := c.random.IntN(len(c.nodes))
	if n := c.nodes[index]; !n.down && !n.frozen && !n.partitioned {
		c.leaseEpoch++
		c.leaseHolder, c.leaseExpiry = index, now.Add(testTTL)
		n.leaseUntil, n.leaseEpoch = now.Add(testTTL*9/10), c.leaseEpoch
	}
}

// makeCall makes a call for a part if the session allows it.
func (n *node) makeCall(part Part) {
	fence, ok := n.session.Held(part)
	if !ok || !n.session.beginCall(part, fence) {
		return
	}
	status := 0
	if !n.platformUnreachable {
		n.cluster.acceptedCalls++
		n.cluster.platform.check(platformCall{part: part, fence: fence, holder: process{n.address(), n.incarnation}, at: n.cluster.clock.Now()})
		status = 200
	}
	n.session.endCall(part, status)
}

// platformCall is a call as seen by the platform.
type platformCall struct {
	part   Part
	fence  int64
	holder process
	at     clock.Instant
}

// callChecker finds the calls that violate the platform's rules. It assumes a platform that
// does not check fences itself.
type callChecker struct {
	calls      []platformCall
	violations []string
}

func (checker *callChecker) check(c platformCall) {
	// otherHolderSince reports whether another holder has made a call since the former call.
	otherHolderSince := false
	for index := len(checker.calls) - 1; index >= 0; index-- {
		former := checker.calls[index]
		if former.part != c.part {
			continue
		}
		switch {
		case former.fence > c.fence:
			checker.violations = append(checker.violations, fmt.Sprintf("%s: call under fence %d of %v after a call under the higher fence %d of %v", c.part, c.fence, c.holder, former.fence, former.holder))
		case former.fence == c.fence && former.holder != c.holder:
			checker.violations = append(checker.violations, fmt.Sprintf("%s: fence %d is used by %v and by %v", c.part, c.fence, c.holder, former.holder))
		case former.holder == c.holder && otherHolderSince && c.at.Since(former.at) < testHandOver:
			checker.violations = append(checker.violations, fmt.Sprintf("%s: %v made a call %v after its previous one, with a call of another holder in between", c.part, c.holder, c.at.Since(former.at)))
		}
		otherHolderSince = otherHolderSince || former.holder != c.holder
		if c.at.Since(former.at) > 4*testHandOver {
			break
		}
	}
	checker.calls = append(checker.calls, c)
}

// toggleFault starts or ends a fault of a random controller.
func (c *cluster) toggleFault(kind int) {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	switch kind {
	case 0:
		n.down = true
	case 1:
		if n.down {
			n.start()
		}
	case 2:
		n.frozen = !n.frozen
	case 3:
		n.partitioned = !n.partitioned
	case 4:
		n.losesResponses = !n.losesResponses
	case 5:
		n.platformUnreachable = !n.platformUnreachable
	case 6:
		n.wallShift = time.Duration(c.random.IntN(5)-2) * time.Second
	case 7:
		n.session.Leave(context.Background())
		n.down = true
	case 8:
		if len(c.platform.calls) > 0 {
			last := c.platform.calls[len(c.platform.calls)-1]
			n.session.RevokeRefused(last.part, last.fence)
		}
	}
}

const faultKinds = 9

func (c *cluster) run(length time.Duration) {
	for range length / testStep {
		c.step()
	}
}

// TestCluster_oneHolderUnderFaults checks three controllers and three parts under random,
// overlapping faults: no call may violate the platform's rules.
func TestCluster_oneHolderUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), 3, clusterOptions{})
		c.run(4 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			c.toggleFault(rapid.IntRange(0, faultKinds-1).Draw(t, "fault"))
			c.run(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
		}
		if len(c.platform.violations) > 0 {
			t.Fatal(c.platform.violations[0])
		}
	})
}

// TestCluster_detectsInjectedDefects injects one defect at a time, which the callChecker must
// detect.
func TestCluster_detectsInjectedDefects(t *testing.T) {
	for name, options := range map[string]clusterOptions{
		"no hand-over delay":               {handOver: time.Millisecond},
		"sessions outlive the assigner's":  {sessionTTL: 4 * testTTL, handOver: time.Millisecond},
		"the fence is not stored":          {losesParts: true},
		"two controllers assign":           {allHoldLease: true},
		"sessions outlive, with the delay": {sessionTTL: 8 * testTTL},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				c := newCluster(seed, 3, options)
				c.run(4 * time.Second)
				for range 12 {
					c.toggleFault(c.random.IntN(faultKinds))
					c.run(time.Duration(c.random.IntN(4000)) * time.Millisecond)
				}
				if len(c.platform.violations) > 0 {
					return
				}
			}
			t.Error("no violation detected in 200 seeds")
		})
	}
}

// TestCluster_failoverTime stops the holder of a part, and for every other seed the assigner
// too. It limits the time until a new holder makes its first call.
func TestCluster_failoverTime(t *testing.T) {
	worst := time.Duration(0)
	for seed := range uint64(60) {
		c := newCluster(seed, 4, clusterOptions{})
		c.run(15 * time.Second)
		last := c.platform.calls[len(c.platform.calls)-1]
		holder := slices.IndexFunc(c.nodes, func(n *node) bool { return n.address() == last.holder.address })
		c.nodes[holder].down = true
		if seed%2 == 0 && c.leaseHolder >= 0 {
			c.nodes[c.leaseHolder].down = true
		}
		lostAt, calls := c.clock.Now(), len(c.platform.calls)
		c.run(12 * time.Second)
		next := slices.IndexFunc(c.platform.calls[calls:], func(other platformCall) bool { return other.part == last.part })
		if next < 0 {
			t.Fatalf("seed %d: no call for part %s within 12 s", seed, last.part)
		}
		worst = max(worst, c.platform.calls[calls+next].at.Since(lostAt))
	}
	if limit := 2*testHandOver + time.Second; worst > limit {
		t.Errorf("first call of a new holder after %v, want at most %v", worst, limit)
	}
}

// TestAssigner_publishesNewerVersionAfterLostResponse loses a response of the store, so that the
// assigner loads the assignment again under the same epoch. The overviews that it then publishes
// must have higher versions than before, or receivers ignore them. In a soak test, relays
// permanently sent usage counts to a former holder for this reason.
func TestAssigner_publishesNewerVersionAfterLostResponse(t *testing.T) {
	fake := clock.NewFake()
	var stored []byte
	var published []gossip.Item
	loseResponse := false
	assigner := NewAssigner(AssignerOptions{
		Clock: fake, Wall: func() time.Time { return time.Unix(0, int64(fake.Now())) }, Address: "a", Parts: testParts, TTL: testTTL, HandOverDelay: testHandOver,
		AssignerLease: func(clock.Instant) (int64, bool) { return 1, true },
		Update: func(_ context.Context, _ string, update UpdateFunc) ([]byte, error) {
			next, err := update(slices.Clone(stored))
			if err != nil {
				return nil, err
			}
			stored = next
			if loseResponse {
				return nil, errUnreachable
			}
			return next, nil
		},
		Publish:   func(item gossip.Item) { published = append(published, item) },
		NewSerial: func(epoch, counter int64) ids.Version { return ids.Version(epoch<<32 | counter) },
	})
	run := func(addresses ...ids.Address) {
		for range int(2 * testHandOver / testStep) {
			fake.Advance(testStep)
			for number, address := range addresses {
				assigner.Renew(SessionRequest{From: address, Incarnation: int64(number + 1), Eligible: true}, fake.Now())
			}
			assigner.Step(context.Background())
		}
	}
	run("a", "b")
	loseResponse = true
	run("a")
	loseResponse = false
	run("a")
	for index := 1; index < len(published); index++ {
		if published[index].Version <= published[index-1].Version {
			t.Fatalf("overview %d has version %d, not above the previous version %d", index, published[index].Version, published[index-1].Version)
		}
	}
	overview, err := transport.Unmarshal[Overview](published[len(published)-1].Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range overview.Parts {
		if part.Holder != "a" {
			t.Errorf("published holder of part %s is %q, want \"a\"", part.Part, part.Holder)
		}
	}
}

// TestSession_findsNextAssignerAfterPowerLoss has the assigner's machine lose power, so that a
// request to it blocks for the whole heartbeat timeout. The session must find the next assigner
// although other controllers still refer to the lost one. In a benchmark run, no part moved for
// the 20 s until the machine was back.
func TestSession_findsNextAssignerAfterPowerLoss(t *testing.T) {
	fake := clock.NewFake()
	lost := false
	session := NewSession(SessionOptions{
		Clock: fake, Wall: func() time.Time { return time.Unix(0, int64(fake.Now())) }, Address: "c", TTL: testTTL, MaxDrift: time.Second,
		Eligible:           func() bool { return true },
		AssignerCandidates: func() []ids.Address { return []ids.Address{"a", "b", "c"} },
		AssignerLease:      func(clock.Instant) (int64, bool) { return 0, false },
		ProbePlatform:      func(context.Context) bool { return true },
		Send: func(ctx context.Context, to ids.Address, _ SessionRequest) (SessionResponse, error) {
			switch {
			case to == "a" && lost:
				// The request blocks until its timeout.
				fake.Advance(testTTL)
				return SessionResponse{}, context.Cause(ctx)
			case to == "a":
				return SessionResponse{Assigning: true, Assigner: "a", Epoch: 1}, nil
			case to == "b" && lost:
				return SessionResponse{Assigning: true, Assigner: "b", Epoch: 2, Grants: []Grant{{Part: UsagePart, Fence: 2}}}, nil
			}
			return SessionResponse{Assigner: "a"}, nil
		},
	})
	session.Renew(context.Background())
	lost = true
	for range 2 {
		session.Renew(context.Background())
	}
	if fence, ok := session.Assigned(UsagePart); !ok || fence != 2 {
		t.Errorf("after two heartbeats: part assigned %v, fence %d, want fence 2", ok, fence)
	}
}

// TestCluster_partsAreSharedEvenly starts one controller and later two more. Each must end up
// with one part, each size part must have a holder, and no part may move more than twice.
func TestCluster_partsAreSharedEvenly(t *testing.T) {
	c := newCluster(1, 3, clusterOptions{})
	c.nodes[1].down, c.nodes[2].down = true, true
	c.run(6 * time.Second)
	c.nodes[1].start()
	c.nodes[2].start()
	c.run(30 * time.Second)
	holders := map[process]int{}
	for _, state := range c.nodes[c.leaseHolder].assigner.parts {
		holders[process{state.record.Holder, state.record.Incarnation}]++
		if state.moves > 2 || (state.record.Part.Zone() != "" && state.record.Holder == "") {
			t.Errorf("part %s has no holder or moved too often: %d times", state.record.Part, state.moves)
		}
	}
	if len(holders) != 3 {
		t.Errorf("parts per holder %v, want three holders", holders)
	}
}

// TestCluster_replacesHolderWithoutPlatform makes the platform unreachable for the holder of a
// part only. Another controller must take the part over.
func TestCluster_replacesHolderWithoutPlatform(t *testing.T) {
	c := newCluster(3, 3, clusterOptions{})
	c.run(15 * time.Second)
	last := c.platform.calls[len(c.platform.calls)-1]
	holder := slices.IndexFunc(c.nodes, func(n *node) bool { return n.address() == last.holder.address })
	c.nodes[holder].platformUnreachable = true
	calls := len(c.platform.calls)
	c.run(12 * time.Second)
	if !slices.ContainsFunc(c.platform.calls[calls:], func(other platformCall) bool { return other.part == last.part }) {
		t.Errorf("no call for part %s although two controllers reach the platform", last.part)
	}
}

// TestCluster_handsOverOnRequest hands a part over on an operator's request. Another controller
// must make calls within the hand-over delay and some heartbeats, and no call may violate the
// platform's rules.
func TestCluster_handsOverOnRequest(t *testing.T) {
	c := newCluster(5, 3, clusterOptions{})
	c.run(15 * time.Second)
	assigner := c.nodes[c.leaseHolder].assigner
	before := assigner.parts[UsagePart].record
	if resp := assigner.HandOver(HandOverRequest{Part: UsagePart}, c.clock.Now()); !resp.Assigning || !resp.Known {
		t.Fatalf("hand-over of a known part: %+v", resp)
	}
	if resp := assigner.HandOver(HandOverRequest{Part: "no such"}, c.clock.Now()); !resp.Assigning || resp.Known {
		t.Errorf("hand-over of an unknown part: %+v", resp)
	}
	calls := len(c.platform.calls)
	c.run(testHandOver + 2*time.Second)
	after := assigner.parts[UsagePart].record
	callsMade := slices.ContainsFunc(c.platform.calls[calls:], func(other platformCall) bool { return other.part == UsagePart && other.fence == after.Fence })
	if after.Holder == before.Holder || after.Fence != before.Fence+1 || !callsMade || len(c.platform.violations) > 0 {
		t.Errorf("record before %+v, after %+v, call of the new holder %v, violations %v", before, after, callsMade, c.platform.violations)
	}
}
