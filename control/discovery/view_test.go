package discovery

import (
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

const maxAge = 3 * time.Second

// viewFixture is a view of zones a and b, with the serials of the published lists.
type viewFixture struct {
	*View
	t       testing.TB
	clock   *clock.Fake
	serials map[ids.Zone]ids.Version
}

func newViewFixture(t testing.TB) *viewFixture {
	fake := clock.NewFake()
	view := NewView(ViewOptions{Clock: fake, Zones: []ids.Zone{"a", "b"}, MaxAge: maxAge})
	return &viewFixture{View: view, t: t, clock: fake, serials: map[ids.Zone]ids.Version{}}
}

func newItem[Message any](key string, serial ids.Version, message Message) gossip.Item {
	body, _ := transport.Marshal(message)
	return gossip.Item{Key: key, Version: serial, Body: body}
}

func newList(zone ids.Zone, runnerIDs ...ids.RunnerID) List {
	var list List
	for _, id := range runnerIDs {
		list.Runners = append(list.Runners, Runner{ID: id, Zone: zone})
	}
	return list
}

// publish applies a zone's published list to the view and reports whether the list
// in use may have changed.
func (v *viewFixture) publish(zone ids.Zone, serial ids.Version, runnerIDs ...ids.RunnerID) (changed bool) {
	v.serials[zone] = serial
	return v.Apply(newItem(ZoneKey(zone), serial, newList(zone, runnerIDs...)))
}

// heartbeat applies a heartbeat that confirms the lists with the fixture's serials.
func (v *viewFixture) heartbeat(serial ids.Version) (changed bool) {
	digest := int64(0)
	for zone, published := range v.serials {
		digest ^= zoneDigest(zone, published)
	}
	return v.Apply(newItem(HeartbeatKey, serial, Heartbeat{Digest: digest}))
}

// expect checks the IDs of the runners in use.
func (v *viewFixture) expect(step string, runnerIDs ...ids.RunnerID) {
	v.t.Helper()
	runners := v.Runners()
	same := len(runners) == len(runnerIDs)
	for index := range runners {
		same = same && runners[index].ID == runnerIDs[index]
	}
	if !same {
		v.t.Errorf("%s: %+v, want %v", step, runners, runnerIDs)
	}
}

func TestView_completeOnceEveryZoneIsPublished(t *testing.T) {
	f := newViewFixture(t)
	if f.publish("a", 1, "i"); f.Complete() || f.Zones() != nil {
		t.Fatal("complete with the list of one zone of two")
	}
	if !f.publish("b", 1, "j") || !f.Complete() || !f.Fresh() {
		t.Fatal("not complete or not fresh with the lists of both zones")
	}
	f.expect("both", "i", "j")
	f.clock.Advance(maxAge)
	if f.Fresh() {
		t.Fatal("still fresh MaxAge after the last confirmation")
	}
	if f.heartbeat(5); !f.Fresh() {
		t.Fatal("a matching heartbeat does not confirm the lists")
	}
	f.clock.Advance(maxAge)
	f.serials["a"] = 9
	if f.heartbeat(6); f.Fresh() {
		t.Fatal("a heartbeat with another digest confirms the lists")
	}
	// The heartbeat arrived before the list that it confirms.
	if f.publish("a", 9, "k"); !f.Fresh() {
		t.Fatal("the list that the last heartbeat confirms does not make the view fresh")
	}
	f.expect("after the change", "k", "j")
}

// TestView_heartbeatReplacesLocalList partitions a zone: its local list replaces the
// published ones. The next heartbeat from the lease's holder makes these active
// again, although none of them changed in between.
func TestView_heartbeatReplacesLocalList(t *testing.T) {
	f := newViewFixture(t)
	f.publish("a", 1, "i")
	f.publish("b", 1, "j")
	local := newItem(LocalKey("a"), 1, newList("a", "x"))
	if f.Apply(local); !f.Fresh() {
		t.Fatal("not fresh with the lists of both zones")
	}
	f.expect("local list while the published ones are fresh", "i", "j")
	f.clock.Advance(maxAge)
	if !f.Apply(local) || !f.Fresh() {
		t.Fatal("a local list is ignored although the published ones are stale")
	}
	f.expect("partitioned", "x")
	f.clock.Advance(maxAge)
	if !f.heartbeat(7) || !f.Fresh() {
		t.Fatal("the heartbeat does not make the published lists active again")
	}
	f.expect("healed", "i", "j")
}

// TestView_itemOrderDoesNotMatter applies the lists of two zones, one of them also
// in an older version, and the heartbeat in any order.
func TestView_itemOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := NewView(ViewOptions{Clock: clock.NewFake(), Zones: []ids.Zone{"a", "b"}, MaxAge: maxAge})
		updates := gossip.NewStore(func(item gossip.Item) { view.Apply(item) })
		digest := zoneDigest("a", 3) ^ zoneDigest("b", 2)
		items := []gossip.Item{
			newItem(ZoneKey("a"), 1, newList("a", "old")), newItem(ZoneKey("a"), 3, newList("a", "i")),
			newItem(ZoneKey("b"), 2, newList("b", "j")), newItem(HeartbeatKey, 4, Heartbeat{Digest: digest}),
		}
		for _, item := range rapid.Permutation(items).Draw(t, "order") {
			updates.Put(item)
		}
		runners := view.Runners()
		if len(runners) != 2 || runners[0].ID != "i" || runners[1].ID != "j" || view.heartbeatDigest != view.digest {
			t.Fatalf("want runners i and j and matching digests, got %+v", runners)
		}
	})
}
