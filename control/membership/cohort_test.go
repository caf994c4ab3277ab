package membership

import (
	"runtime"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
)

func table(machine clock.Clock, address ids.Address) *Table {
	return NewTable(machine, Member{Address: address, Role: "router"})
}

func TestNewerReportsCount(t *testing.T) {
	known := table(clock.NewFake(), "a")
	known.Merge([]Member{{Address: "b", Incarnation: 2}})
	known.Merge([]Member{{Address: "b", Incarnation: 1, State: Removed}})
	if member, _ := known.Find("b"); member.State != Alive {
		t.Fatalf("an older report counted: %+v", member)
	}
	known.Merge([]Member{{Address: "b", Incarnation: 2, State: Suspect}})
	if member, _ := known.Find("b"); member.State != Suspect {
		t.Fatalf("a worse report of the same life did not count: %+v", member)
	}
	known.Merge([]Member{{Address: "b", Incarnation: 3}})
	if member, _ := known.Find("b"); member.State != Alive {
		t.Fatalf("the refutation did not count: %+v", member)
	}
}

func TestSuspicionIsRefuted(t *testing.T) {
	known := table(clock.NewFake(), "a")
	known.Merge([]Member{{Address: "a", Role: "router", Incarnation: 1, State: Suspect}})
	if self := known.Self(); self.State != Alive || self.Incarnation != 2 {
		t.Fatalf("%+v", self)
	}
	other := table(clock.NewFake(), "b")
	other.Merge([]Member{{Address: "a", Role: "router", Incarnation: 1, State: Removed}})
	other.Merge([]Member{known.Self()})
	if member, _ := other.Find("a"); member.State != Alive {
		t.Fatalf("%+v", member)
	}
}

func TestSecondLifeOverridesTheFirst(t *testing.T) {
	other := table(clock.NewFake(), "b")
	other.Merge([]Member{{Address: "a", Role: "router", Ready: true, Incarnation: 7}})
	reborn := table(clock.NewFake(), "a")
	reborn.Merge(other.Members())
	other.Merge([]Member{reborn.Self()})
	if member, _ := other.Find("a"); member.Ready || member.Incarnation != 8 {
		t.Fatalf("%+v", member)
	}
}

func TestEqualTablesHaveEqualSums(t *testing.T) {
	first, second := table(clock.NewFake(), "a"), table(clock.NewFake(), "b")
	first.Merge([]Member{second.Self()})
	if first.Sums() == second.Sums() {
		t.Fatal("tables that differ have one sum")
	}
	second.Merge(first.Members())
	if first.Sums() != second.Sums() {
		t.Fatal("equal tables differ in their sums")
	}
}

// stranger is a sender as it is logged.
type stranger ids.Address

// String gives its address.
func (s stranger) String() string { return string(s) }

// net joins probers without any network; members in dead answer nothing, and
// pairs in cut don't reach each other.
type net struct {
	clock   *clock.Fake
	scope   scope.Scope
	probers map[ids.Address]*Prober
	dead    map[ids.Address]bool
	cut     map[[2]ids.Address]bool
}

func newNet(addresses ...ids.Address) *net {
	made := &net{clock: clock.NewFake(), probers: map[ids.Address]*Prober{}, dead: map[ids.Address]bool{}, cut: map[[2]ids.Address]bool{}}
	made.scope = scope.New(scope.Options{Clock: made.clock})
	for _, address := range addresses {
		made.probers[address] = &Prober{
			Table: table(made.clock, address),
			Spawn: func(ask func()) { ask() },
			Pace:  Pace{Every: clock.Second, Answer: 100 * clock.Millisecond, Suspicion: 2 * clock.Second, Seconds: 2},
			Send: func(to ids.Address, body []byte) {
				if target := made.probers[to]; target != nil && !made.dead[to] && !made.dead[address] && !made.cut[[2]ids.Address{address, to}] {
					target.Take(made.scope, stranger(address), body)
				}
			},
		}
	}
	for _, prober := range made.probers {
		for _, other := range made.probers {
			prober.Table.Merge([]Member{other.Table.Self()})
		}
	}
	return made
}

// probe runs one probe, letting time pass while it waits.
func (n *net) probe(from ids.Address, to ids.Address) {
	target, _ := n.probers[from].Table.Find(to)
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.probers[from].Probe(n.scope, target)
	}()
	for {
		select {
		case <-done:
			return
		default:
			n.clock.Next()
			runtime.Gosched()
		}
	}
}

func (n *net) state(at ids.Address, of ids.Address) State {
	member, _ := n.probers[at].Table.Find(of)
	return member.State
}

func TestSilentMemberIsSuspectedThenRemoved(t *testing.T) {
	net := newNet("a", "b", "c")
	net.probe("a", "b")
	if net.state("a", "b") != Alive {
		t.Fatal("a member that answers is suspected")
	}
	net.dead["b"] = true
	net.probe("a", "b")
	if net.state("a", "b") != Suspect {
		t.Fatalf("state %d of a silent member", net.state("a", "b"))
	}
	net.probers["a"].expire(true)
	net.clock.Move(3 * clock.Second)
	net.probers["a"].expire(true)
	if net.state("a", "b") != Suspect {
		t.Fatal("a daemon that was frozen itself removed another")
	}
	net.probers["a"].expire(false)
	if net.state("a", "b") != Removed {
		t.Fatal("the suspicion never ends")
	}
}

func TestThirdPartyVouches(t *testing.T) {
	net := newNet("a", "b", "c")
	net.cut[[2]ids.Address{"a", "b"}] = true
	net.probe("a", "b")
	if net.state("a", "b") != Alive {
		t.Fatal("a member that others reach is suspected")
	}
}

func TestMembersOutliveTheirDaemon(t *testing.T) {
	disk := wal.Dir(t.TempDir())
	first := table(clock.NewFake(), "a")
	first.Merge([]Member{{Address: "b", Role: "router", Ready: true, Incarnation: 9}})
	if err := (&Keeper{Table: first, Disk: disk, Name: "members"}).Save(); err != nil {
		t.Fatal(err)
	}
	second := table(clock.NewFake(), "a")
	if err := (&Keeper{Table: second, Disk: disk, Name: "members"}).Load(); err != nil {
		t.Fatal(err)
	}
	if member, known := second.Find("b"); !known || member.Present() || member.Ready {
		t.Fatalf("%+v %v", member, known)
	}
	if self := second.Self(); self.State != Alive {
		t.Fatalf("a daemon took its own old record for true: %+v", self)
	}
	second.Merge([]Member{{Address: "b", Role: "router", Ready: true, Incarnation: 1}})
	if member, _ := second.Find("b"); !member.Ready {
		t.Fatalf("a member that is back stays removed: %+v", member)
	}
}

func TestBrokenAndForeignDatagramsAreCountedAndDropped(t *testing.T) {
	net := newNet("a", "b")
	prober := net.probers["a"]
	prober.Gate = transport.NewGate(map[ids.Zone]ids.Region{"hall": "north"})
	heard := 0
	prober.Send = func(ids.Address, []byte) { heard++ }
	news := Datagram{Kind: kindProbe, Number: 1, From: "b", Reports: []Member{{Address: "odd", Incarnation: 3}}}
	whole, _ := transport.Enclose(prober.Gate, news)
	foreign, _ := transport.Enclose(transport.NewGate(nil), news)
	version, _ := transport.Enclose(prober.Gate, news.Reports[0])
	news.Kind = 77
	unknown, _ := transport.Enclose(prober.Gate, news)
	for _, body := range [][]byte{whole[:len(whole)-1], whole[:3], nil, foreign, version, unknown} {
		prober.Take(net.scope, stranger("c"), body)
	}
	totals := prober.Gate.Totals()
	if totals["torn"] != 3 || totals["deployment"] != 1 || totals["version"] != 1 || totals["unknown"] != 1 {
		t.Errorf("%v", totals)
	}
	if _, known := prober.Table.Find("odd"); known || heard != 0 {
		t.Errorf("a refused datagram was heard: known %v, %d answers", known, heard)
	}
	prober.Take(net.scope, stranger("b"), whole)
	if _, known := prober.Table.Find("odd"); !known || heard != 1 {
		t.Errorf("a good datagram was not heard: known %v, %d answers", known, heard)
	}
}
