package voter

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/logtest"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/membership"
	"onyxwell/control/state/register"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
)

// cluster is a group of controllers in one process that communicate over real
// HTTP and share a fake clock. The first three are voters.
type cluster struct {
	t         *testing.T
	clock     *clock.Fake
	ctx       scope.Scope
	voters    []*Voter
	proposers []*register.Proposer
	servers   []*httptest.Server
}

func newCluster(t *testing.T, count int) *cluster {
	t.Helper()
	c := &cluster{t: t, clock: clock.NewFake()}
	node := &settings.Settings{Seeds: []ids.Address{"a", "b", "c"}}
	node.Tolerate.Machines, node.Bounds.GraceS = 1, 8
	c.ctx = scope.New(scope.Options{Clock: c.clock, Settings: node})
	var muxes []*httpcall.Mux
	var addresses []ids.Address
	for range count {
		mux := httpcall.NewMux(c.clock, 1<<20)
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		muxes, c.servers = append(muxes, mux), append(c.servers, server)
		addresses = append(addresses, ids.Address(strings.TrimPrefix(server.URL, "http://")))
	}
	for index, address := range addresses {
		members := membership.NewTable(c.clock, membership.Member{Address: address, Role: "fleet-controller"})
		for _, other := range addresses {
			if other != address {
				members.Merge([]membership.Member{{Address: other, Role: "fleet-controller", Incarnation: 1, ServesControl: true}})
			}
		}
		v, err := Open(c.ctx, Options{
			Clock: c.clock, Log: c.ctx.Log, Settings: node,
			Address: address, Disk: wal.Dir(t.TempDir()), FirstStart: index < 3, Seeds: addresses[:3], Membership: members,
			Transport:    transport.NewClient(httpcall.Dialer{Timeout: time.Second, UserTimeout: time.Second}),
			ReplaceAfter: time.Second, Timeout: 100 * time.Second, LeaseTTL: time.Second, TargetCount: 3,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(v.Close)
		v.RegisterHandlers(muxes[index])
		proposer := register.NewProposer(register.ProposerOptions{
			Clock: c.clock, Log: c.ctx.Log,
			Address: address, Client: v, Voters: v.Acceptor.Voters, MessageTimeout: 100 * time.Second, MinCopies: 2,
			HighestEpoch: func(key string) int64 { return v.Acceptor.Slot(key).Promised.Number },
		})
		v.Attach(proposer)
		c.voters, c.proposers = append(c.voters, v), append(c.proposers, proposer)
	}
	return c
}

// update writes a value through a controller's proposer.
func (c *cluster) update(index int, value string) {
	c.t.Helper()
	replace := func([]byte) ([]byte, error) { return []byte(value), nil }
	if _, err := c.proposers[index].Update(c.ctx, "spec", replace); err != nil {
		c.t.Fatal(err)
	}
}

// removeVoter stops a controller and marks it as removed in all memberships.
func (c *cluster) removeVoter(index int) {
	c.servers[index].Close()
	for _, v := range c.voters {
		v.options.Membership.AdvanceState(c.voters[index].options.Address, membership.Removed)
	}
	c.clock.Advance(2 * time.Second)
}

// TestVoter_warnsOfTooFewControllers has three controllers. If the settings
// require two losses to be tolerated, which takes five voters, the operator must
// be warned exactly once.
func TestVoter_warnsOfTooFewControllers(t *testing.T) {
	for machines, wantWarnings := range map[int]int{1: 0, 2: 1} {
		c, logs := newCluster(t, 3), &logtest.Buffer{}
		v := c.voters[0]
		v.log, v.settings.Tolerate.Machines = scope.NewLogger("warn", logs), machines
		c.update(0, "one")
		// An update returns once enough disks hold it. Surveys by another voter
		// bring it to all disks: otherwise the surveys below would also warn of
		// the disk that lags.
		for other := c.voters[1]; !other.Redundancy().Complete; {
			other.surveyOnce(c.ctx)
		}
		for range 5 {
			v.surveyOnce(c.ctx)
		}
		if got := strings.Count(logs.String(), "redundancy below tolerate.machines"); got != wantWarnings {
			t.Errorf("tolerate.machines %d: %d warnings, want %d:\n%s", machines, got, wantWarnings, logs.String())
		}
	}
}

// TestVoter_standbyReplacesLostVoterInOneAttempt stops a voter. The standby has
// already caught up with the values, notices the vacancy without sending a
// request, and votes after one attempt to join. The surveys that follow must find
// the redundancy complete.
func TestVoter_standbyReplacesLostVoterInOneAttempt(t *testing.T) {
	c := newCluster(t, 4)
	standby := c.voters[3]
	if skipped := standby.tryJoin(c.ctx); skipped != standbyIntervalsSkipped || standby.joiner.HasVacancy() {
		t.Fatalf("without a vacancy, the standby skips %d intervals or reports a vacancy", skipped)
	}
	c.update(0, "one")
	standby.repairer.CatchUp(c.ctx)
	standby.repairer.CatchUp(c.ctx)
	if slot := standby.Acceptor.Slot("spec"); string(slot.Accepted.Value) != "one" || slot.Promised.Number != 0 {
		t.Fatalf("after catching up, the standby holds %+v", slot)
	}
	for !c.voters[0].Redundancy().Complete {
		c.voters[0].surveyOnce(c.ctx)
	}
	// expectSameView fails the test unless the standby and a voter report the
	// same redundancy.
	expectSameView := func() {
		t.Helper()
		got, want := standby.QueryRedundancy(c.ctx), c.voters[0].QueryRedundancy(c.ctx)
		if got.String() != want.String() || got.Complete != want.Complete || len(got.Keys) != len(want.Keys) || want.Voters != 3 {
			t.Fatalf("a voter reports %s, the standby %s", want, got)
		}
	}
	expectSameView()
	c.removeVoter(2)
	c.voters[0].surveyOnce(c.ctx)
	expectSameView()
	if redundancy := c.voters[0].Redundancy(); redundancy.TolerableLosses != 0 || len(redundancy.Unreachable) != 1 {
		t.Fatalf("after the loss of one voter: %s", redundancy)
	}
	if !standby.joiner.HasVacancy() {
		t.Fatal("the standby does not notice the vacancy")
	}
	standby.tryJoin(c.ctx)
	if !standby.Voting() {
		t.Fatalf("the standby is not a voter after one attempt to join: %+v", standby.Acceptor.Voters())
	}
	for range 3 {
		c.voters[0].surveyOnce(c.ctx)
		standby.surveyOnce(c.ctx)
	}
	if redundancy := c.voters[0].Redundancy(); !redundancy.Complete || redundancy.TolerableLosses != 1 {
		t.Fatalf("after the replacement: %s", redundancy)
	}
	c.update(3, "two")
}

// TestVoter_forgottenVoterIsReplaced loses a voter and prunes it from all
// memberships: it must still be replaced.
func TestVoter_forgottenVoterIsReplaced(t *testing.T) {
	c := newCluster(t, 4)
	c.removeVoter(2)
	c.clock.Advance(2 * 60 * 60 * time.Second)
	for _, v := range c.voters {
		v.options.Membership.Prune()
	}
	for range 2 {
		c.voters[3].tryJoin(c.ctx)
		c.clock.Advance(3 * time.Second)
	}
	if !c.voters[3].Voting() {
		t.Fatalf("a voter that no membership knows is not replaced: %+v", c.voters[3].Acceptor.Voters())
	}
}

// TestVoter_handOffEndsWithContext hands off while the other voters respond, when
// there is nothing to wait for, and again with all others lost and its context
// canceled: both must end.
func TestVoter_handOffEndsWithContext(t *testing.T) {
	c := newCluster(t, 3)
	c.update(0, "one")
	// An update is acknowledged before all of its messages have been answered, so
	// surveys complete it first.
	for !c.voters[0].Redundancy().Complete {
		c.voters[0].surveyOnce(c.ctx)
	}
	c.voters[0].HandOff(c.ctx)
	c.removeVoter(1)
	c.removeVoter(2)
	canceled, cancel := c.ctx.WithCancel()
	cancel()
	c.voters[0].HandOff(canceled)
}
