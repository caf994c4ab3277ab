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

func newTestTable(machine clock.Clock, address ids.Address) *Table {
	return NewTable(machine, Member{Address: address, Role: "router"})
}

func TestTableMerge_prefersNewerReports(t *testing.T) {
	known := newTestTable(clock.NewFake(), "a")
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

func TestTableMerge_refutesSuspicion(t *testing.T) {
	known := newTestTable(clock.NewFake(), "a")
	known.Merge([]Member{{Address: "a", Role: "router", Incarnation: 1, State: Suspect}})
	if self := known.Self(); self.State != Alive || self.Incarnation != 2 {
		t.Fatalf("%+v", self)
	}
	other := newTestTable(clock.NewFake(), "b")
	other.Merge([]Member{{Address: "a", Role: "router", Incarnation: 1, State: Removed}})
	other.Merge([]Member{known.Self()})
	if member, _ := other.Find("a"); member.State != Alive {
		t.Fatalf("%+v", member)
	}
}

func TestTableMerge_restartSupersedesOldIncarnation(t *testing.T) {
	other := newTestTable(clock.NewFake(), "b")
	other.Merge([]Member{{Address: "a", Role: "router", Ready: true, Incarnation: 7}})
	reborn := newTestTable(clock.NewFake(), "a")
	reborn.Merge(other.Members())
	other.Merge([]Member{reborn.Self()})
	if member, _ := other.Find("a"); member.Ready || member.Incarnation != 8 {
		t.Fatalf("%+v", member)
	}
}

func TestTableDigest_equalForEqualTables(t *testing.T) {
	first, second := newTestTable(clock.NewFake(), "a"), newTestTable(clock.NewFake(), "b")
	first.Merge([]Member{second.Self()})
	if first.Digest() == second.Digest() {
		t.Fatal("tables that differ have one sum")
	}
	second.Merge(first.Members())
	if first.Digest() != second.Digest() {
		t.Fatal("equal tables differ in their sums")
	}
}

// senderAddress is a sender as it is logged.
type senderAddress ids.Address

// String gives its address.
func (s senderAddress) String() string { return string(s) }

// fakeNetwork joins probers without any network; members in dead answer nothing, and
// pairs in cut don't reach each other.
type fakeNetwork struct {
	clock       *clock.Fake
	scope       scope.Scope
	probers     map[ids.Address]*Prober
	dead        map[ids.Address]bool
	partitioned map[[2]ids.Address]bool
}

func newFakeNetwork(addresses ...ids.Address) *fakeNetwork {
	made := &fakeNetwork{clock: clock.NewFake(), probers: map[ids.Address]*Prober{}, dead: map[ids.Address]bool{}, partitioned: map[[2]ids.Address]bool{}}
	made.scope = scope.New(scope.Options{Clock: made.clock})
	for _, address := range addresses {
		made.probers[address] = &Prober{
			Table:  newTestTable(made.clock, address),
			Spawn:  func(ask func()) { ask() },
			Config: ProbeConfig{Interval: clock.Second, AckTimeout: 100 * clock.Millisecond, SuspicionTimeout: 2 * clock.Second, IndirectProbes: 2},
			Send: func(to ids.Address, body []byte) {
				if target := made.probers[to]; target != nil && !made.dead[to] && !made.dead[address] && !made.partitioned[[2]ids.Address{address, to}] {
					target.Receive(made.scope, senderAddress(address), body)
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

// runProbe runs one probe, letting time pass while it waits.
func (f *fakeNetwork) runProbe(from ids.Address, to ids.Address) {
	target, _ := f.probers[from].Table.Find(to)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.probers[from].Probe(f.scope, target)
	}()
	for {
		select {
		case <-done:
			return
		default:
			f.clock.AdvanceToNext()
			runtime.Gosched()
		}
	}
}

func (f *fakeNetwork) state(at ids.Address, of ids.Address) State {
	member, _ := f.probers[at].Table.Find(of)
	return member.State
}

func TestProber_suspectsThenRemovesSilentMember(t *testing.T) {
	net := newFakeNetwork("a", "b", "c")
	net.runProbe("a", "b")
	if net.state("a", "b") != Alive {
		t.Fatal("a member that answers is suspected")
	}
	net.dead["b"] = true
	net.runProbe("a", "b")
	if net.state("a", "b") != Suspect {
		t.Fatalf("state %d of a silent member", net.state("a", "b"))
	}
	net.probers["a"].removeExpiredSuspects(true)
	net.clock.Advance(3 * clock.Second)
	net.probers["a"].removeExpiredSuspects(true)
	if net.state("a", "b") != Suspect {
		t.Fatal("a daemon that was frozen itself removed another")
	}
	net.probers["a"].removeExpiredSuspects(false)
	if net.state("a", "b") != Removed {
		t.Fatal("the suspicion never ends")
	}
}

func TestProber_indirectProbeClearsMember(t *testing.T) {
	net := newFakeNetwork("a", "b", "c")
	net.partitioned[[2]ids.Address{"a", "b"}] = true
	net.runProbe("a", "b")
	if net.state("a", "b") != Alive {
		t.Fatal("a member that others reach is suspected")
	}
}

func TestStore_restoresMembersAsRemoved(t *testing.T) {
	disk := wal.Dir(t.TempDir())
	first := newTestTable(clock.NewFake(), "a")
	first.Merge([]Member{{Address: "b", Role: "router", Ready: true, Incarnation: 9}})
	if err := (&Store{Table: first, Disk: disk, Name: "members"}).Save(); err != nil {
		t.Fatal(err)
	}
	second := newTestTable(clock.NewFake(), "a")
	if err := (&Store{Table: second, Disk: disk, Name: "members"}).Load(); err != nil {
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

func TestProberReceive_countsAndDropsRejectedDatagrams(t *testing.T) {
	net := newFakeNetwork("a", "b")
	prober := net.probers["a"]
	prober.Guard = transport.NewGuard(map[ids.Zone]ids.Region{"hall": "north"})
	heard := 0
	prober.Send = func(ids.Address, []byte) { heard++ }
	news := Datagram{Kind: kindPing, Sequence: 1, From: "b", Reports: []Member{{Address: "odd", Incarnation: 3}}}
	whole, _ := transport.Seal(prober.Guard, news)
	foreign, _ := transport.Seal(transport.NewGuard(nil), news)
	version, _ := transport.Seal(prober.Guard, news.Reports[0])
	news.Kind = 77
	unknown, _ := transport.Seal(prober.Guard, news)
	for _, body := range [][]byte{whole[:len(whole)-1], whole[:3], nil, foreign, version, unknown} {
		prober.Receive(net.scope, senderAddress("c"), body)
	}
	totals := prober.Guard.Totals()
	if totals["torn"] != 3 || totals["deployment"] != 1 || totals["version"] != 1 || totals["unknown"] != 1 {
		t.Errorf("%v", totals)
	}
	if _, known := prober.Table.Find("odd"); known || heard != 0 {
		t.Errorf("a refused datagram was heard: known %v, %d answers", known, heard)
	}
	prober.Receive(net.scope, senderAddress("b"), whole)
	if _, known := prober.Table.Find("odd"); !known || heard != 1 {
		t.Errorf("a good datagram was not heard: known %v, %d answers", known, heard)
	}
}
