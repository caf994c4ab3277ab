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

const maxAge = 3 * clock.Second

// viewFixture is a view with the items that bring it its list.
type viewFixture struct {
	t       testing.TB
	view    *View
	clock   *clock.Fake
	serials map[ids.Zone]ids.Serial
}

func newViewFixture(t testing.TB) *viewFixture {
	machine := clock.NewFake()
	view := NewView(ViewOptions{Clock: machine, Zones: []ids.Zone{"a", "b"}, MaxAge: maxAge})
	return &viewFixture{t: t, view: view, clock: machine, serials: map[ids.Zone]ids.Serial{}}
}

func newItem[Message any](key string, serial ids.Serial, message Message) gossip.Item {
	body, _ := transport.Marshal(message)
	return gossip.Item{Key: key, Version: serial, Body: body}
}

func newList(zone ids.Zone, names ...ids.RunnerID) List {
	var list List
	for _, name := range names {
		list.Runners = append(list.Runners, Runner{ID: name, Zone: zone})
	}
	return list
}

func (v *viewFixture) applyZone(zone ids.Zone, serial ids.Serial, names ...ids.RunnerID) bool {
	v.serials[zone] = serial
	return v.view.Apply(newItem(ZoneKey(zone), serial, newList(zone, names...)))
}

func (v *viewFixture) applyHeartbeat(serial ids.Serial) bool {
	digest := int64(0)
	for zone, serial := range v.serials {
		digest ^= zoneDigest(zone, serial)
	}
	return v.view.Apply(newItem(HeartbeatKey, serial, Heartbeat{Digest: digest}))
}

func (v *viewFixture) expect(moment string, names ...ids.RunnerID) {
	v.t.Helper()
	found := v.view.Runners()
	same := len(found) == len(names)
	for index := range found {
		same = same && found[index].ID == names[index]
	}
	if !same {
		v.t.Errorf("%s: %+v, not %v", moment, found, names)
	}
}

func TestView_completeOnceEveryZoneIsPublished(t *testing.T) {
	told := newViewFixture(t)
	if told.applyZone("a", 1, "i"); told.view.Complete() || told.view.Zones() != nil {
		t.Fatal("whole with a part of one zone")
	}
	if !told.applyZone("b", 1, "j") || !told.view.Complete() || !told.view.Fresh() {
		t.Fatal("not whole with both")
	}
	told.expect("both", "i", "j")
	told.clock.Advance(maxAge)
	if told.view.Fresh() {
		t.Fatal("fresh for ever")
	}
	if told.applyHeartbeat(5); !told.view.Fresh() {
		t.Fatal("a beat of these parts does not confirm them")
	}
	told.clock.Advance(maxAge)
	told.serials["a"] = 9
	if told.applyHeartbeat(6); told.view.Fresh() {
		t.Fatal("a beat of other parts confirms these")
	}
	// The beat came before the part that it speaks of.
	if told.applyZone("a", 9, "k"); !told.view.Fresh() {
		t.Fatal("the part that was missing does not confirm the list")
	}
	told.expect("after the change", "k", "j")
}

// TestView_heartbeatReplacesLocalList is of a zone that was cut off: its own list
// stands in place of the told one, and the same told parts count again as soon as
// the holder's beat is heard, though none of them changed meanwhile.
func TestView_heartbeatReplacesLocalList(t *testing.T) {
	told := newViewFixture(t)
	told.applyZone("a", 1, "i")
	told.applyZone("b", 1, "j")
	local := newItem(LocalKey("a"), 1, newList("a", "x"))
	if told.view.Apply(local); !told.view.Fresh() {
		t.Fatal("not fresh")
	}
	told.expect("a local list while the told one is fresh", "i", "j")
	told.clock.Advance(maxAge)
	if !told.view.Apply(local) || !told.view.Fresh() {
		t.Fatal("a local list does not count where the told one is old")
	}
	told.expect("cut off", "x")
	told.clock.Advance(maxAge)
	if !told.applyHeartbeat(7) || !told.view.Fresh() {
		t.Fatal("the beat does not bring the told parts back")
	}
	told.expect("joined again", "i", "j")
}

// TestView_itemOrderDoesNotMatter brings the newest parts and the beat in any order.
func TestView_itemOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := NewView(ViewOptions{Clock: clock.NewFake(), Zones: []ids.Zone{"a", "b"}, MaxAge: maxAge})
		news := gossip.NewStore(func(item gossip.Item) { view.Apply(item) })
		digest := zoneDigest("a", 3) ^ zoneDigest("b", 2)
		items := []gossip.Item{
			newItem(ZoneKey("a"), 1, newList("a", "old")), newItem(ZoneKey("a"), 3, newList("a", "i")),
			newItem(ZoneKey("b"), 2, newList("b", "j")), newItem(HeartbeatKey, 4, Heartbeat{Digest: digest}),
		}
		for _, item := range rapid.Permutation(items).Draw(t, "order") {
			news.Put(item)
		}
		runners := view.Runners()
		if len(runners) != 2 || runners[0].ID != "i" || runners[1].ID != "j" || view.heartbeatDigest != view.digest {
			t.Fatalf("%+v", runners)
		}
	})
}

func TestFallback_relaysReadFirst(t *testing.T) {
	machine := clock.NewFake()
	member := func(address ids.Address, core bool) membership.Member {
		return membership.Member{Address: address, Zone: "a", Region: "r", ServesControl: core, Incarnation: 1}
	}
	top := scope.New(scope.Options{Clock: machine, Settings: &settings.Settings{Platform: settings.Platform{RatePerS: 100}}})
	made := func(self membership.Member, others ...membership.Member) *Fallback {
		table := membership.NewTable(machine, self)
		table.Merge(others)
		view := NewView(ViewOptions{Clock: machine, MaxAge: maxAge})
		return &Fallback{Membership: table, View: view, Interval: clock.Second, RouterCount: func() int { return 50 }}
	}
	core, first, second := member("1:1", true), member("2:1", false), member("3:1", false)
	if wait := made(core, first, second).startDelay(top); wait != 0 {
		t.Errorf("the first relay waits %v", wait)
	}
	relays := made(first, core, second).Membership.Relays("a", relayReaders)
	for _, self := range []membership.Member{first, second} {
		others := []membership.Member{core, first, second}
		wait, relayed := made(self, others...).startDelay(top), self.Address == relays[1].Address
		if (relayed && wait != clock.Second) || (!relayed && (wait < 2*clock.Second || wait > 3*clock.Second)) {
			t.Errorf("%s waits %v", self.Address, wait)
		}
	}
	if wait := made(first).startDelay(top); wait < 2*clock.Second {
		t.Errorf("a router that knows nobody waits %v", wait)
	}
	fallback := made(first)
	fallback.Restart = true
	if wait := fallback.startDelay(top); wait < clock.Second/restartDelayDivisor || wait > clock.Second/restartDelayDivisor+clock.Second {
		t.Errorf("after all were down a router waits %v", wait)
	}
	fallback = made(core)
	fallback.Restart = true
	if fallback.due(machine.Now()) {
		t.Error("a start is no time to ask at once")
	}
	machine.Advance(clock.Second / restartDivisor)
	if !fallback.due(machine.Now()) {
		t.Error("after all were down nobody asks")
	}
	fallback.Restart = false
	if fallback.due(machine.Now()) {
		t.Error("at a first start the holder is not waited for")
	}
}
