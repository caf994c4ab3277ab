package canary

import (
	"maps"
	"reflect"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/rollout"
	"onyxwell/control/transport"
	"onyxwell/data/snapshot"
)

func newGate() (*Gate, *snapshot.Store, *clock.Fake) {
	fake := clock.NewFake()
	store := snapshot.NewStore(snapshot.Options{Clock: fake, Zones: map[ids.Zone]ids.Region{"a": "r"}, Region: "r", TracksVersions: true})
	return New(Options{Clock: fake, Policy: rollout.Policy{}, Snapshots: store, Region: "r", Random: func() float64 { return 0 }}), store, fake
}

func listOf(versions ...string) discovery.List {
	var list discovery.List
	for index, version := range versions {
		list.Runners = append(list.Runners, discovery.Runner{ID: ids.RunnerID(rune('a' + index)), Service: "s", Zone: "a", Version: version, Capacity: 1})
	}
	return list
}

// allowedVersions returns, by version, the number of runners that a new request may be sent to.
func allowedVersions(gate *Gate, store *snapshot.Store, fake *clock.Fake) map[string]int {
	snap := store.Current()
	filter := gate.Filter(snap, "s", gate.Assign("s", "route"), fake.Now())
	allowed := map[string]int{}
	for _, runner := range snap.Runners["s"] {
		if filter.Allows(runner) {
			allowed[runner.Version]++
		}
	}
	return allowed
}

func TestGate_unorderedVersionGetsNothing(t *testing.T) {
	gate, store, fake := newGate()
	store.ApplyRunners(listOf("v1", "v1"))
	store.ApplyRunners(listOf("v1", "v1", "v2", "v2", "v2"))
	if allowed := allowedVersions(gate, store, fake); allowed["v1"] != 2 || allowed["v2"] != 0 {
		t.Errorf("both versions listed: allowed %v, want 2 of v1 and none of v2", allowed)
	}
	store.ApplyRunners(listOf("v2", "v2"))
	if allowed := allowedVersions(gate, store, fake); allowed["v2"] != 2 {
		t.Errorf("only v2 listed: allowed %v, want 2 of v2", allowed)
	}
	gate, store, fake = newGate()
	store.ApplyRunners(listOf("v10", "v9", "v10", "v9"))
	if allowed := allowedVersions(gate, store, fake); allowed["v9"] != 2 || allowed["v10"] != 0 {
		t.Errorf("two versions in the first list: allowed %v, want 2 of v9 and none of v10", allowed)
	}
}

func TestGate_followsVerdict(t *testing.T) {
	cases := []struct {
		name      string
		condition rollout.Condition
		listed    []string
		want      map[string]int
	}{
		{"in progress without a permit", rollout.InProgress, []string{"v1", "v2"}, map[string]int{"v1": 1}},
		{"reverted", rollout.Reverted, []string{"v1", "v2"}, map[string]int{"v1": 1}},
		{"reverted, no old runner left", rollout.Reverted, []string{"v2"}, map[string]int{}},
		{"finished", rollout.Finished, []string{"v1", "v2"}, map[string]int{"v2": 1}},
		{"finished, no target runner left", rollout.Finished, []string{"v1"}, map[string]int{"v1": 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			gate, store, fake := newGate()
			store.ApplyRunners(listOf(test.listed...))
			applyRecord(t, store, rollout.Record{Version: 1, Order: 1, Target: "v2", Condition: int64(test.condition)})
			allowed := allowedVersions(gate, store, fake)
			if allowed["v1"] != test.want["v1"] || allowed["v2"] != test.want["v2"] {
				t.Errorf("allowed %v, want %v", allowed, test.want)
			}
		})
	}
}

// applyRecord gives the store a record of the service's rollout.
func applyRecord(t *testing.T, store *snapshot.Store, record rollout.Record) {
	t.Helper()
	body, err := transport.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	store.Apply(gossip.Item{Key: rollout.Key("s"), Version: record.Version, Body: body})
}

// versionsCase is a router's state of versions: what it was told, what is listed, and how many
// runners of each version a new request may be sent to.
type versionsCase struct {
	name    string
	records []rollout.Record
	// stable is the zero StableRecord if none was received.
	stable rollout.StableRecord
	listed []string
	want   map[string]int
}

// check compares the state of a new router with want. The router has the earlier lists before
// it is told anything.
func (c versionsCase) check(t *testing.T, earlierLists ...[]string) {
	t.Helper()
	gate, store, fake := newGate()
	for _, listed := range earlierLists {
		store.ApplyRunners(listOf(listed...))
	}
	if c.stable.Version > 0 {
		body, err := transport.Marshal(c.stable)
		if err != nil {
			t.Fatal(err)
		}
		store.Apply(gossip.Item{Key: rollout.StableKey("s"), Version: c.stable.Version, Body: body})
	}
	for _, record := range c.records {
		applyRecord(t, store, record)
	}
	store.ApplyRunners(listOf(c.listed...))
	if allowed := allowedVersions(gate, store, fake); !maps.Equal(allowed, c.want) {
		t.Errorf("allowed %v, want %v", allowed, c.want)
	}
}

// TestGate_revertedVersionStaysOut guards against requests to a reverted version once the
// next one is ordered: while that is rolled out, after its verdict, and on routers that
// start only then.
func TestGate_revertedVersionStaysOut(t *testing.T) {
	reverted := rollout.Record{Version: 3, Order: 1, Target: "v2", Condition: int64(rollout.Reverted), Rejected: []string{"v2"}}
	next := rollout.Record{Version: 4, Order: 2, Target: "v3", Condition: int64(rollout.InProgress), Rejected: []string{"v2"}}
	nextReverted, nextFinished := next, next
	nextReverted.Condition, nextReverted.Rejected = int64(rollout.Reverted), []string{"v2", "v3"}
	nextFinished.Condition = int64(rollout.Finished)
	cases := []versionsCase{
		{"next in progress", []rollout.Record{reverted, next}, rollout.StableRecord{}, []string{"v1", "v2", "v2", "v3"}, map[string]int{"v1": 1}},
		{"next in progress, started late", []rollout.Record{next}, rollout.StableRecord{}, []string{"v1", "v2", "v2", "v3"}, map[string]int{"v1": 1}},
		{"next in progress, only the reverted one left", []rollout.Record{next}, rollout.StableRecord{}, []string{"v2", "v3"}, map[string]int{}},
		{"next reverted", []rollout.Record{next, nextReverted}, rollout.StableRecord{}, []string{"v1", "v2", "v2", "v3"}, map[string]int{"v1": 1}},
		{"next reverted, no old runner left", []rollout.Record{nextReverted}, rollout.StableRecord{}, []string{"v2", "v3"}, map[string]int{}},
		{"next finished, no runner of it left", []rollout.Record{nextFinished}, rollout.StableRecord{}, []string{"v2"}, map[string]int{}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) { test.check(t, test.listed) })
	}
}

// TestGate_otherVersionsAreTheLastResort guards against requests to versions that are neither
// stable nor rolled out, while the stable version has a runner: a version that is listed before
// its order, one that no order names, and one that was replaced.
func TestGate_otherVersionsAreTheLastResort(t *testing.T) {
	inProgress := rollout.Record{Version: 1, Order: 1, Target: "v2", Condition: int64(rollout.InProgress)}
	reverted, finished, next := inProgress, inProgress, inProgress
	reverted.Version, reverted.Condition, reverted.Rejected = 2, int64(rollout.Reverted), []string{"v2"}
	finished.Version, finished.Condition = 2, int64(rollout.Finished)
	next.Version, next.Order, next.Target = 3, 2, "v3"
	lastStage := inProgress
	lastStage.Stage = int64(rollout.Full)
	cases := []versionsCase{
		{"listed before its order", []rollout.Record{inProgress, reverted}, rollout.StableRecord{}, []string{"v1", "v2", "v3", "v3"}, map[string]int{"v1": 1}},
		{"not named by the order in progress", []rollout.Record{inProgress}, rollout.StableRecord{}, []string{"v1", "v2", "v3", "v3"}, map[string]int{"v1": 1}},
		{"replaced by the stable version", []rollout.Record{inProgress, finished, next}, rollout.StableRecord{}, []string{"v1", "v2", "v3"}, map[string]int{"v2": 1}},
		{"no stable runner left, in progress", []rollout.Record{inProgress}, rollout.StableRecord{}, []string{"v2", "v3"}, map[string]int{"v3": 1}},
		{"no stable runner left, last stage", []rollout.Record{lastStage}, rollout.StableRecord{}, []string{"v2", "v3"}, map[string]int{"v2": 1}},
		{"no stable runner left, reverted", []rollout.Record{inProgress, reverted}, rollout.StableRecord{}, []string{"v2", "v3"}, map[string]int{"v3": 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) { test.check(t, []string{"v1"}, []string{"v1", "v2"}) })
	}
}

// TestGate_startedLateKnowsTheStableVersion guards against routers that start during a rollout
// or after one and take the version with the most runners for the stable one: one that is
// listed before its order, or one that was replaced.
func TestGate_startedLateKnowsTheStableVersion(t *testing.T) {
	reverted := rollout.Record{Version: 2, Order: 1, Target: "v2", Condition: int64(rollout.Reverted), Rejected: []string{"v2"}}
	afterReversal := rollout.Record{Version: 3, Order: 2, Target: "v3", Condition: int64(rollout.InProgress), Rejected: []string{"v2"}}
	afterFinish := rollout.Record{Version: 3, Order: 2, Target: "v3", Condition: int64(rollout.InProgress)}
	orderedAgain := rollout.Record{Version: 3, Order: 2, Target: "v1", Condition: int64(rollout.InProgress), Rejected: []string{"v2"}}
	first := rollout.StableRecord{Version: 1, Order: 1, Target: "v2", Stable: "v1"}
	second := rollout.StableRecord{Version: 2, Order: 2, Target: "v3", Stable: "v1"}
	cases := []versionsCase{
		{"next listed before its order", []rollout.Record{reverted}, first, []string{"v1", "v3", "v3"}, map[string]int{"v1": 1}},
		{"next in progress, stable version of the order before", []rollout.Record{afterReversal}, first, []string{"v1", "v3", "v4", "v4"}, map[string]int{"v1": 1}},
		{"next in progress, stable version of its order", []rollout.Record{afterReversal}, second, []string{"v1", "v3", "v4", "v4"}, map[string]int{"v1": 1}},
		{"reverted, stable version of the next order", []rollout.Record{reverted}, second, []string{"v1", "v3", "v3"}, map[string]int{"v1": 1}},
		{"next in progress, replaced version listed", []rollout.Record{afterFinish}, first, []string{"v1", "v1", "v2", "v3"}, map[string]int{"v2": 1}},
		{"stable version ordered again", []rollout.Record{orderedAgain}, first, []string{"v1", "v2"}, map[string]int{"v1": 1}},
		{"stable version without runners", []rollout.Record{reverted}, first, []string{"v2", "v3"}, map[string]int{"v3": 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) { test.check(t) })
	}
}

// TestGate_reportsOnlyVersionsThatTakePart guards against outcomes of a reverted version, or of
// one that gets no requests, that are reported as those of the old version: a bad target
// version looked like its control.
func TestGate_reportsOnlyVersionsThatTakePart(t *testing.T) {
	gate, store, fake := newGate()
	store.ApplyRunners(listOf("v1"))
	store.ApplyRunners(listOf("v1", "v2", "v3", "v4"))
	applyRecord(t, store, rollout.Record{Version: 4, Order: 2, Target: "v3", Condition: int64(rollout.InProgress), Rejected: []string{"v2"}})
	for _, runner := range store.Current().Runners["s"] {
		gate.Observe(Attempt{Service: "s", Route: "route", Runner: runner, Failed: runner.Version != "v1"})
	}
	req, ok := gate.buildRequest(store.Current(), fake.Now())
	if !ok || len(req.Services) != 1 {
		t.Fatalf("reports %+v, want one of the rollout in progress", req.Services)
	}
	want := []rollout.RouteCount{{Route: "route", Ended: 1}, {Route: "route", Target: true, Ended: 1, Failed: 1}}
	if got := req.Services[0].Routes; !reflect.DeepEqual(got, want) {
		t.Errorf("reported %+v, want %+v: one attempt at v1, one at v3", got, want)
	}
}

// TestGate_canaryInEvacuatedZone checks that runners of the target version get no requests in an
// evacuated zone, even under a permit.
func TestGate_canaryInEvacuatedZone(t *testing.T) {
	gate, store, fake := newGate()
	store.ApplyRunners(listOf("v1", "v2"))
	applyRecord(t, store, rollout.Record{Version: 1, Order: 1, Target: "v2", Condition: int64(rollout.InProgress)})
	gate.Assign("s", "route")
	gate.rollouts["s"].permit = rollout.Permit{Service: "s", Order: 1, Stage: int64(rollout.Canary), RunnersMilli: 100, LoadMilli: 1000}
	gate.rollouts["s"].expiry = fake.Now() + 1000
	if allowed := allowedVersions(gate, store, fake); allowed["v2"] != 1 {
		t.Fatalf("with a permit: allowed %v, want 1 of v2", allowed)
	}
	drained, err := transport.Marshal(evacuation.State{Version: 1, Drained: true})
	if err != nil {
		t.Fatal(err)
	}
	store.Apply(gossip.Item{Key: evacuation.Key("a"), Version: 1, Body: drained})
	if allowed := allowedVersions(gate, store, fake); allowed["v2"] != 0 {
		t.Errorf("in an evacuated zone: allowed %v, want none of v2", allowed)
	}
}

func TestGate_nilAllowsAll(t *testing.T) {
	var gate *Gate
	runner := &snapshot.Runner{}
	if gate.Assign("s", "route") != Old || !gate.Filter(&snapshot.Snapshot{}, "s", Old, 0).Allows(runner) || !gate.Begin("s", runner, Old, 0) {
		t.Error("a nil gate does not allow everything")
	}
	gate.Observe(Attempt{Runner: runner})
	gate.End("s", runner)
}
