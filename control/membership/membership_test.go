package membership

import (
	"runtime"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/state/wal"
	"onyxwell/control/transport"
)

func newTestTable(source clock.Clock, address ids.Address) *Table {
	return NewTable(source, Member{Address: address, Role: "router"})
}

func TestTableMerge_prefersNewerReports(t *testing.T) {
	table := newTestTable(clock.NewFake(), "a")
	table.Merge([]Member{{Address: "b", Incarnation: 2}})
	table.Merge([]Member{{Address: "b", Incarnation: 1, State: Removed}})
	if member, _ := table.Find("b"); member.State != Alive {
		t.Fatalf("an older report was applied: %+v", member)
	}
	table.Merge([]Member{{Address: "b", Incarnation: 2, State: Suspect}})
	if member, _ := table.Find("b"); member.State != Suspect {
		t.Fatalf("a report of a higher state in the same incarnation was not applied: %+v", member)
	}
	table.Merge([]Member{{Address: "b", Incarnation: 3}})
	if member, _ := table.Find("b"); member.State != Alive {
		t.Fatalf("the refutation was not applied: %+v", member)
	}
}

func TestTableMerge_refutesSuspicion(t *testing.T) {
	table := newTestTable(clock.NewFake(), "a")
	table.Merge([]Member{{Address: "a", Role: "router", Incarnation: 1, State: Suspect}})
	if self := table.Self(); self.State != Alive || self.Incarnation != 2 {
		t.Fatalf("the suspicion was not refuted: %+v", self)
	}
	other := newTestTable(clock.NewFake(), "b")
	other.Merge([]Member{{Address: "a", Role: "router", Incarnation: 1, State: Removed}})
	other.Merge([]Member{table.Self()})
	if member, _ := other.Find("a"); member.State != Alive {
		t.Fatalf("the refutation did not override the removal: %+v", member)
	}
}

func TestTableMerge_restartSupersedesOldIncarnation(t *testing.T) {
	other := newTestTable(clock.NewFake(), "b")
	other.Merge([]Member{{Address: "a", Role: "router", Ready: true, Incarnation: 7}})
	restarted := newTestTable(clock.NewFake(), "a")
	restarted.Merge(other.Members())
	other.Merge([]Member{restarted.Self()})
	if member, _ := other.Find("a"); member.Ready || member.Incarnation != 8 {
		t.Fatalf("the restarted daemon did not supersede its old report: %+v", member)
	}
}

func TestTableDigest_equalForEqualTables(t *testing.T) {
	first, second := newTestTable(clock.NewFake(), "a"), newTestTable(clock.NewFake(), "b")
	first.Merge([]Member{second.Self()})
	if first.Digest() == second.Digest() {
		t.Fatal("different tables have the same digest")
	}
	second.Merge(first.Members())
	if first.Digest() != second.Digest() {
		t.Fatal("equal tables have different digests")
	}
}

// senderAddress is the sender of a datagram as Receive expects it.
type senderAddress ids.Address

// String returns the address.
func (s senderAddress) String() string { return string(s) }

// fakeNetwork delivers datagrams between probers in memory. Members in dead neither send
// nor receive; a pair {from, to} in partitioned drops the datagrams in that direction.
type fakeNetwork struct {
	clock       *clock.Fake
	scope       scope.Scope
	probers     map[ids.Address]*Prober
	dead        map[ids.Address]bool
	partitioned map[[2]ids.Address]bool
}

func newFakeNetwork(addresses ...ids.Address) *fakeNetwork {
	network := &fakeNetwork{clock: clock.NewFake(), probers: map[ids.Address]*Prober{}, dead: map[ids.Address]bool{}, partitioned: map[[2]ids.Address]bool{}}
	network.scope = scope.New(scope.Options{Clock: network.clock})
	for _, address := range addresses {
		network.probers[address] = &Prober{
			Table:  newTestTable(network.clock, address),
			inline: true,
			Config: ProbeConfig{Interval: time.Second, AckTimeout: 100 * time.Millisecond, SuspicionTimeout: 2 * time.Second, IndirectProbes: 2},
			Send: func(to ids.Address, body []byte) {
				if target := network.probers[to]; target != nil && !network.dead[to] && !network.dead[address] && !network.partitioned[[2]ids.Address{address, to}] {
					target.Receive(network.scope, senderAddress(address), body)
				}
			},
		}
	}
	for _, prober := range network.probers {
		for _, other := range network.probers {
			prober.Table.Merge([]Member{other.Table.Self()})
		}
	}
	return network
}

// runProbe runs one probe and advances the clock until it ends.
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
	network := newFakeNetwork("a", "b", "c")
	network.runProbe("a", "b")
	if network.state("a", "b") != Alive {
		t.Fatal("a member that answers was suspected")
	}
	network.dead["b"] = true
	network.runProbe("a", "b")
	if network.state("a", "b") != Suspect {
		t.Fatalf("state %d of an unresponsive member, want Suspect", network.state("a", "b"))
	}
	network.probers["a"].removeExpiredSuspects(true)
	network.clock.Advance(3 * time.Second)
	network.probers["a"].removeExpiredSuspects(true)
	if network.state("a", "b") != Suspect {
		t.Fatal("a daemon that had stalled removed another")
	}
	network.probers["a"].removeExpiredSuspects(false)
	if network.state("a", "b") != Removed {
		t.Fatal("the suspicion did not expire")
	}
}

func TestProber_indirectProbeClearsMember(t *testing.T) {
	network := newFakeNetwork("a", "b", "c")
	network.partitioned[[2]ids.Address{"a", "b"}] = true
	network.runProbe("a", "b")
	if network.state("a", "b") != Alive {
		t.Fatal("a member that answered an indirect probe was suspected")
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
	if member, ok := second.Find("b"); !ok || member.Present() || member.Ready {
		t.Fatalf("restored member: %+v, found %v", member, ok)
	}
	if self := second.Self(); self.State != Alive {
		t.Fatalf("a daemon applied its own stored report: %+v", self)
	}
	second.Merge([]Member{{Address: "b", Role: "router", Ready: true, Incarnation: 1}})
	if member, _ := second.Find("b"); !member.Ready {
		t.Fatalf("a member that came back is still removed: %+v", member)
	}
}

func TestProberReceive_countsAndDropsRejectedDatagrams(t *testing.T) {
	network := newFakeNetwork("a", "b")
	prober := network.probers["a"]
	prober.Guard = transport.NewGuard(map[ids.Zone]ids.Region{"hall": "north"}, nil)
	answers := 0
	prober.Send = func(ids.Address, []byte) { answers++ }
	ping := Datagram{Kind: kindPing, Sequence: 1, From: "b", Reports: []Member{{Address: "odd", Incarnation: 3}}}
	whole, _ := transport.Seal(prober.Guard, ping)
	foreign, _ := transport.Seal(transport.NewGuard(nil, nil), ping)
	otherSchema, _ := transport.Seal(prober.Guard, ping.Reports[0])
	ping.Kind = 77
	unknown, _ := transport.Seal(prober.Guard, ping)
	for _, body := range [][]byte{whole[:len(whole)-1], whole[:3], nil, foreign, otherSchema, unknown} {
		prober.Receive(network.scope, senderAddress("c"), body)
	}
	totals := prober.Guard.Totals()
	if totals["torn"] != 3 || totals["deployment"] != 1 || totals["version"] != 1 || totals["unknown"] != 1 {
		t.Errorf("wrong totals of rejected datagrams: %v", totals)
	}
	if _, ok := prober.Table.Find("odd"); ok || answers != 0 {
		t.Errorf("a rejected datagram was processed: member known %v, %d answers", ok, answers)
	}
	prober.Receive(network.scope, senderAddress("b"), whole)
	if _, ok := prober.Table.Find("odd"); !ok || answers != 1 {
		t.Errorf("a valid datagram was not processed: member known %v, %d answers", ok, answers)
	}
}
