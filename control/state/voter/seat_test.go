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

// site is some controllers in one process, over real calls, on one fake clock.
type site struct {
	t     *testing.T
	clock *clock.Fake
	top   scope.Scope
	seats []*Seat
	keeps []*register.Proposer
	doors []*httptest.Server
}

func newSite(t *testing.T, count int) *site {
	t.Helper()
	made := &site{t: t, clock: clock.NewFake()}
	settings := &settings.Boot{Seeds: []ids.Address{"a", "b", "c"}}
	settings.Tolerate.Machines, settings.Bounds.GraceS = 1, 8
	made.top = scope.New(scope.Options{Clock: made.clock, Boot: settings})
	var tables []*httpcall.Table
	var addresses []ids.Address
	for range count {
		table := httpcall.NewTable(made.top, 1<<20)
		door := httptest.NewServer(table)
		t.Cleanup(door.Close)
		tables, made.doors = append(tables, table), append(made.doors, door)
		addresses = append(addresses, ids.Address(strings.TrimPrefix(door.URL, "http://")))
	}
	for index, address := range addresses {
		known := membership.NewTable(made.clock, membership.Member{Address: address, Role: "fleet-controller"})
		for _, other := range addresses {
			if other != address {
				known.Merge([]membership.Member{{Address: other, Role: "fleet-controller", Incarnation: 1, Core: true}})
			}
		}
		opened, err := Open(made.top, Options{
			Address: address, Disk: wal.Dir(t.TempDir()), First: index < 3, Seeds: addresses[:3], Table: known,
			Messenger: transport.New(httpcall.Dialing{Limit: clock.Second, Silence: clock.Second}),
			Patience:  clock.Second, Limit: 100 * clock.Second, HoldSpan: clock.Second, Seats: 3,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(opened.Close)
		opened.Serve(tables[index])
		keeper := register.NewProposer(register.ProposerOptions{
			Address: address, Client: opened, Voters: opened.Acceptor.Voters, MessageTimeout: 100 * clock.Second, MinCopies: 2,
			HighestEpoch: func(key string) int64 { return opened.Acceptor.Slot(key).Promised.Number },
		})
		opened.Seek(keeper)
		made.seats, made.keeps = append(made.seats, opened), append(made.keeps, keeper)
	}
	return made
}

func (s *site) change(index int, value string) {
	s.t.Helper()
	step := func([]byte) ([]byte, error) { return []byte(value), nil }
	if _, err := s.keeps[index].Update(s.top, "spec", step); err != nil {
		s.t.Fatal(err)
	}
}

// lose ends a controller and has all others take it for removed.
func (s *site) lose(index int) {
	s.doors[index].Close()
	for _, seat := range s.seats {
		seat.options.Table.Judge(s.seats[index].options.Address, membership.Removed)
	}
	s.clock.Move(2 * clock.Second)
}

// TestReplacedInOneRun loses a voter: the one that stood by has followed the
// values, sees the seat get free without a message, and votes after one run;
// after one more look of a voter all is whole.
func TestReplacedInOneRun(t *testing.T) {
	site := newSite(t, 4)
	standBy := site.seats[3]
	if idle := standBy.strive(site.top); idle != standBys || standBy.joiner.HasVacancy() {
		t.Fatalf("idle for %d though no seat is free", idle)
	}
	site.change(0, "one")
	standBy.survey.CatchUp(site.top)
	standBy.survey.CatchUp(site.top)
	if held := standBy.Acceptor.Slot("spec"); string(held.Accepted.Value) != "one" || held.Promised.Number != 0 {
		t.Fatalf("the stand-by holds %+v", held)
	}
	// One without a seat shows what a voter does.
	for !site.seats[0].Redundancy().Complete {
		site.seats[0].look(site.top)
	}
	alike := func() {
		t.Helper()
		seen, own := standBy.RedundancyNow(site.top), site.seats[0].RedundancyNow(site.top)
		if seen.String() != own.String() || seen.Complete != own.Complete || len(seen.Keys) != len(own.Keys) || own.Voters != 3 {
			t.Fatalf("a voter sees %s, the stand-by %s", own, seen)
		}
	}
	alike()
	site.lose(2)
	site.seats[0].look(site.top)
	alike()
	if state := site.seats[0].Redundancy(); state.TolerableLosses != 0 || len(state.Unreachable) != 1 {
		t.Fatalf("with one lost: %s", state)
	}
	if !standBy.joiner.HasVacancy() {
		t.Fatal("the free seat isn't seen")
	}
	standBy.strive(site.top)
	if !standBy.Voting() {
		t.Fatalf("no seat after one run: %+v", standBy.Acceptor.Voters())
	}
	for range 3 {
		site.seats[0].look(site.top)
		standBy.look(site.top)
	}
	if state := site.seats[0].Redundancy(); !state.Complete || state.TolerableLosses != 1 {
		t.Fatalf("after the replacement: %s", state)
	}
	site.change(3, "two")
}

// TestForgottenVoterIsReplaced has no daemon remember a voter that is away.
func TestForgottenVoterIsReplaced(t *testing.T) {
	site := newSite(t, 4)
	site.lose(2)
	site.clock.Move(2 * 60 * 60 * clock.Second)
	for _, seat := range site.seats {
		seat.options.Table.Forget()
	}
	for range 2 {
		site.seats[3].strive(site.top)
		site.clock.Move(3 * clock.Second)
	}
	if !site.seats[3].Voting() {
		t.Fatalf("the seat of a forgotten voter stays empty: %+v", site.seats[3].Acceptor.Voters())
	}
}

// TestHandOnEndsInTime has one that leaves find the others away, and its time
// over: it ends all the same; with them there it has nothing to wait for.
func TestHandOnEndsInTime(t *testing.T) {
	site := newSite(t, 3)
	site.change(0, "one")
	// A change is answered before its last message is: two looks see to that.
	for !site.seats[0].Redundancy().Complete {
		site.seats[0].look(site.top)
	}
	site.seats[0].HandOn(site.top)
	site.lose(1)
	site.lose(2)
	ended, end := site.top.WithEnd()
	end()
	site.seats[0].HandOn(ended)
}
