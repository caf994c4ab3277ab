package discovery

import (
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/proptest"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

func TestMain(tests *testing.M) { proptest.Run(tests) }

const patience = 3 * clock.Second

// told is a view with the items that bring it its list.
type told struct {
	t       testing.TB
	view    *View
	machine *clock.Fake
	serials map[ids.Zone]ids.Serial
}

func newTold(t testing.TB) *told {
	machine := clock.NewFake()
	view := NewView(ViewOptions{Clock: machine, Zones: []ids.Zone{"a", "b"}, Patience: patience})
	return &told{t: t, view: view, machine: machine, serials: map[ids.Zone]ids.Serial{}}
}

func item[Message any](key string, serial ids.Serial, message Message) gossip.Item {
	body, _ := transport.Marshal(message)
	return gossip.Item{Key: key, Version: serial, Body: body}
}

func listOf(zone ids.Zone, names ...ids.RunnerID) List {
	var list List
	for _, name := range names {
		list.Runners = append(list.Runners, Runner{ID: name, Zone: zone})
	}
	return list
}

func (t *told) part(zone ids.Zone, serial ids.Serial, names ...ids.RunnerID) bool {
	t.serials[zone] = serial
	return t.view.Absorb(item(PartKey(zone), serial, listOf(zone, names...)))
}

func (t *told) beat(serial ids.Serial) bool {
	digest := int64(0)
	for zone, serial := range t.serials {
		digest ^= partDigest(zone, serial)
	}
	return t.view.Absorb(item(BeatKey, serial, Beat{Digest: digest}))
}

func (t *told) wants(moment string, names ...ids.RunnerID) {
	t.t.Helper()
	found := t.view.Runners()
	same := len(found) == len(names)
	for index := range found {
		same = same && found[index].ID == names[index]
	}
	if !same {
		t.t.Errorf("%s: %+v, not %v", moment, found, names)
	}
}

func TestViewWantsAPartOfEachZone(t *testing.T) {
	told := newTold(t)
	if told.part("a", 1, "i"); told.view.Whole() || told.view.Sections() != nil {
		t.Fatal("whole with a part of one zone")
	}
	if !told.part("b", 1, "j") || !told.view.Whole() || !told.view.Fresh() {
		t.Fatal("not whole with both")
	}
	told.wants("both", "i", "j")
	told.machine.Move(patience)
	if told.view.Fresh() {
		t.Fatal("fresh for ever")
	}
	if told.beat(5); !told.view.Fresh() {
		t.Fatal("a beat of these parts does not confirm them")
	}
	told.machine.Move(patience)
	told.serials["a"] = 9
	if told.beat(6); told.view.Fresh() {
		t.Fatal("a beat of other parts confirms these")
	}
	// The beat came before the part that it speaks of.
	if told.part("a", 9, "k"); !told.view.Fresh() {
		t.Fatal("the part that was missing does not confirm the list")
	}
	told.wants("after the change", "k", "j")
}

// TestLocalListGivesWayToTheBeat is of a zone that was cut off: its own list
// stands in place of the told one, and the same told parts count again as soon as
// the holder's beat is heard, though none of them changed meanwhile.
func TestLocalListGivesWayToTheBeat(t *testing.T) {
	told := newTold(t)
	told.part("a", 1, "i")
	told.part("b", 1, "j")
	local := item(LocalKey("a"), 1, listOf("a", "x"))
	if told.view.Absorb(local); !told.view.Fresh() {
		t.Fatal("not fresh")
	}
	told.wants("a local list while the told one is fresh", "i", "j")
	told.machine.Move(patience)
	if !told.view.Absorb(local) || !told.view.Fresh() {
		t.Fatal("a local list does not count where the told one is old")
	}
	told.wants("cut off", "x")
	told.machine.Move(patience)
	if !told.beat(7) || !told.view.Fresh() {
		t.Fatal("the beat does not bring the told parts back")
	}
	told.wants("joined again", "i", "j")
}

// TestOrderOfItemsDoesNotMatter brings the newest parts and the beat in any order.
func TestOrderOfItemsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := NewView(ViewOptions{Clock: clock.NewFake(), Zones: []ids.Zone{"a", "b"}, Patience: patience})
		news := gossip.NewStore(func(item gossip.Item) { view.Absorb(item) })
		digest := partDigest("a", 3) ^ partDigest("b", 2)
		items := []gossip.Item{
			item(PartKey("a"), 1, listOf("a", "old")), item(PartKey("a"), 3, listOf("a", "i")),
			item(PartKey("b"), 2, listOf("b", "j")), item(BeatKey, 4, Beat{Digest: digest}),
		}
		for _, item := range rapid.Permutation(items).Draw(t, "order") {
			news.Put(item)
		}
		runners := view.Runners()
		if len(runners) != 2 || runners[0].ID != "i" || runners[1].ID != "j" || view.beat != view.digest {
			t.Fatalf("%+v", runners)
		}
	})
}

func TestFallbackLeavesItToTheRelays(t *testing.T) {
	machine := clock.NewFake()
	member := func(address ids.Address, core bool) membership.Member {
		return membership.Member{Address: address, Zone: "a", Region: "r", ServesControl: core, Incarnation: 1}
	}
	top := scope.New(scope.Options{Clock: machine, Boot: &settings.Boot{Platform: settings.Platform{RatePerS: 100}}})
	made := func(self membership.Member, others ...membership.Member) *Fallback {
		table := membership.NewTable(machine, self)
		table.Merge(others)
		view := NewView(ViewOptions{Clock: machine, Patience: patience})
		return &Fallback{Table: table, View: view, Every: clock.Second, Routers: func() int { return 50 }}
	}
	core, first, second := member("1:1", true), member("2:1", false), member("3:1", false)
	if wait := made(core, first, second).turn(top); wait != 0 {
		t.Errorf("the first relay waits %v", wait)
	}
	relays := made(first, core, second).Table.Relays("a", relaysFirst)
	for _, self := range []membership.Member{first, second} {
		others := []membership.Member{core, first, second}
		wait, relayed := made(self, others...).turn(top), self.Address == relays[1].Address
		if (relayed && wait != clock.Second) || (!relayed && (wait < 2*clock.Second || wait > 3*clock.Second)) {
			t.Errorf("%s waits %v", self.Address, wait)
		}
	}
	if wait := made(first).turn(top); wait < 2*clock.Second {
		t.Errorf("a router that knows nobody waits %v", wait)
	}
	fallback := made(first)
	fallback.Hurry = true
	if wait := fallback.turn(top); wait < clock.Second/hurryTurn || wait > clock.Second/hurryTurn+clock.Second {
		t.Errorf("after all were down a router waits %v", wait)
	}
	fallback = made(core)
	fallback.Hurry = true
	if fallback.due(machine.Now()) {
		t.Error("a start is no time to ask at once")
	}
	machine.Move(clock.Second / hurryPart)
	if !fallback.due(machine.Now()) {
		t.Error("after all were down nobody asks")
	}
	fallback.Hurry = false
	if fallback.due(machine.Now()) {
		t.Error("at a first start the holder is not waited for")
	}
}
