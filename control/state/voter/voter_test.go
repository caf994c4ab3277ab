package voter

import (
	"net/http/httptest"
	"strings"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/membership"
	"onyxwell/control/state/register"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
)

// cluster is some controllers in one process, over real calls, on one fake clock.
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
	made := &cluster{t: t, clock: clock.NewFake()}
	settings := &settings.Settings{Seeds: []ids.Address{"a", "b", "c"}}
	settings.Tolerate.Machines, settings.Bounds.GraceS = 1, 8
	made.ctx = scope.New(scope.Options{Clock: made.clock, Settings: settings})
	var tables []*httpcall.Mux
	var addresses []ids.Address
	for range count {
		table := httpcall.NewMux(made.ctx, 1<<20)
		door := httptest.NewServer(table)
		t.Cleanup(door.Close)
		tables, made.servers = append(tables, table), append(made.servers, door)
		addresses = append(addresses, ids.Address(strings.TrimPrefix(door.URL, "http://")))
	}
	for index, address := range addresses {
		known := membership.NewTable(made.clock, membership.Member{Address: address, Role: "fleet-controller"})
		for _, other := range addresses {
			if other != address {
				known.Merge([]membership.Member{{Address: other, Role: "fleet-controller", Incarnation: 1, ServesControl: true}})
			}
		}
		opened, err := Open(made.ctx, Options{
			Address: address, Disk: wal.Dir(t.TempDir()), FirstStart: index < 3, Seeds: addresses[:3], Membership: known,
			Transport:    transport.NewClient(httpcall.Dialer{Timeout: clock.Second, UserTimeout: clock.Second}),
			ReplaceAfter: clock.Second, Timeout: 100 * clock.Second, LeaseTTL: clock.Second, TargetCount: 3,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(opened.Close)
		opened.RegisterHandlers(tables[index])
		keeper := register.NewProposer(register.ProposerOptions{
			Address: address, Client: opened, Voters: opened.Acceptor.Voters, MessageTimeout: 100 * clock.Second, MinCopies: 2,
			HighestEpoch: func(key string) int64 { return opened.Acceptor.Slot(key).Promised.Number },
		})
		opened.Attach(keeper)
		made.voters, made.proposers = append(made.voters, opened), append(made.proposers, keeper)
	}
	return made
}

func (c *cluster) change(index int, value string) {
	c.t.Helper()
	step := func([]byte) ([]byte, error) { return []byte(value), nil }
	if _, err := c.proposers[index].Update(c.ctx, "spec", step); err != nil {
		c.t.Fatal(err)
	}
}

// removeVoter ends a controller and has all others take it for removed.
func (c *cluster) removeVoter(index int) {
	c.servers[index].Close()
	for _, seat := range c.voters {
		seat.options.Membership.AdvanceState(c.voters[index].options.Address, membership.Removed)
	}
	c.clock.Advance(2 * clock.Second)
}

// TestVoter_standbyReplacesLostVoterInOneRun loses a voter: the one that stood by has followed the
// values, sees the seat get free without a message, and votes after one run;
// after one more look of a voter all is whole.
func TestVoter_standbyReplacesLostVoterInOneRun(t *testing.T) {
	site := newCluster(t, 4)
	standBy := site.voters[3]
	if idle := standBy.tryJoin(site.ctx); idle != standbyIdleRounds || standBy.joiner.HasVacancy() {
		t.Fatalf("idle for %d though no seat is free", idle)
	}
	site.change(0, "one")
	standBy.survey.CatchUp(site.ctx)
	standBy.survey.CatchUp(site.ctx)
	if held := standBy.Acceptor.Slot("spec"); string(held.Accepted.Value) != "one" || held.Promised.Number != 0 {
		t.Fatalf("the stand-by holds %+v", held)
	}
	// One without a seat shows what a voter does.
	for !site.voters[0].Redundancy().Complete {
		site.voters[0].surveyOnce(site.ctx)
	}
	alike := func() {
		t.Helper()
		seen, own := standBy.QueryRedundancy(site.ctx), site.voters[0].QueryRedundancy(site.ctx)
		if seen.String() != own.String() || seen.Complete != own.Complete || len(seen.Keys) != len(own.Keys) || own.Voters != 3 {
			t.Fatalf("a voter sees %s, the stand-by %s", own, seen)
		}
	}
	alike()
	site.removeVoter(2)
	site.voters[0].surveyOnce(site.ctx)
	alike()
	if state := site.voters[0].Redundancy(); state.TolerableLosses != 0 || len(state.Unreachable) != 1 {
		t.Fatalf("with one lost: %s", state)
	}
	if !standBy.joiner.HasVacancy() {
		t.Fatal("the free seat isn't seen")
	}
	standBy.tryJoin(site.ctx)
	if !standBy.Voting() {
		t.Fatalf("no seat after one run: %+v", standBy.Acceptor.Voters())
	}
	for range 3 {
		site.voters[0].surveyOnce(site.ctx)
		standBy.surveyOnce(site.ctx)
	}
	if state := site.voters[0].Redundancy(); !state.Complete || state.TolerableLosses != 1 {
		t.Fatalf("after the replacement: %s", state)
	}
	site.change(3, "two")
}

// TestVoter_forgottenVoterIsReplaced has no daemon remember a voter that is away.
func TestVoter_forgottenVoterIsReplaced(t *testing.T) {
	site := newCluster(t, 4)
	site.removeVoter(2)
	site.clock.Advance(2 * 60 * 60 * clock.Second)
	for _, seat := range site.voters {
		seat.options.Membership.Prune()
	}
	for range 2 {
		site.voters[3].tryJoin(site.ctx)
		site.clock.Advance(3 * clock.Second)
	}
	if !site.voters[3].Voting() {
		t.Fatalf("the seat of a forgotten voter stays empty: %+v", site.voters[3].Acceptor.Voters())
	}
}

// TestVoter_handOverEndsInTime has one that leaves find the others away, and its time
// over: it ends all the same; with them there it has nothing to wait for.
func TestVoter_handOverEndsInTime(t *testing.T) {
	site := newCluster(t, 3)
	site.change(0, "one")
	// A change is answered before its last message is: two looks see to that.
	for !site.voters[0].Redundancy().Complete {
		site.voters[0].surveyOnce(site.ctx)
	}
	site.voters[0].HandOver(site.ctx)
	site.removeVoter(1)
	site.removeVoter(2)
	ended, end := site.ctx.WithCancel()
	end()
	site.voters[0].HandOver(ended)
}
