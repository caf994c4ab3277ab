package router

import (
	"maps"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/outlier"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/transport"
	"onyxwell/data/slowstart"
	"onyxwell/data/snapshot"
)

// TestAvoidedRunners_released guards against the full load on a runner that was ejected or
// quarantined, got no requests meanwhile, and is used again without being asked.
func TestAvoidedRunners_released(t *testing.T) {
	clk := clock.NewFake()
	ejected := &snapshot.Snapshot{EjectedUntil: map[ids.RunnerID]clock.Instant{"e": clk.Now().Add(time.Second)}}
	quarantined := &snapshot.Snapshot{RunnerWeights: map[ids.RunnerID]autoscaler.RunnerWeight{"q": {Quarantined: true}, "w": {Weight: 1}}}
	steps := []struct {
		name     string
		snapshot *snapshot.Snapshot
		wait     time.Duration
		released map[ids.RunnerID]bool
	}{
		{"none", &snapshot.Snapshot{}, 0, nil},
		{"ejected", ejected, 0, nil},
		{"still ejected", ejected, time.Second / 2, nil},
		{"the ejection ends", ejected, time.Second / 2, map[ids.RunnerID]bool{"e": true}},
		{"reported once", ejected, 0, nil},
		{"quarantined", quarantined, 0, nil},
		{"a plan without quarantine", &snapshot.Snapshot{}, 0, map[ids.RunnerID]bool{"q": true}},
	}
	var avoided avoidedRunners
	for _, step := range steps {
		clk.Advance(step.wait)
		if released := avoided.update(step.snapshot, clk.Now()); !maps.Equal(released, step.released) {
			t.Errorf("%s: got %v", step.name, released)
		}
	}
}

// TestUnverifyReturned_ejectionEnds guards against the same where the probes' loop runs.
func TestUnverifyReturned_ejectionEnds(t *testing.T) {
	one, two := startWarmupRunner(t, "one", "n"), startWarmupRunner(t, "two", "n")
	r, fakeClock := newWarmRouter(t, one, two)
	body, err := transport.Marshal(outlier.Ejections{Runners: []outlier.Ejection{{Runner: "one", LeftMS: 1000}}})
	if err != nil {
		t.Fatal(err)
	}
	r.snapshots.Apply(gossip.Item{Key: gossip.ZonePrefix + "n", Version: 1, Body: body})
	r.unverifyReturned(r.snapshots.Current(), fakeClock.Now())
	fakeClock.Advance(time.Second)
	r.unverifyReturned(r.snapshots.Current(), fakeClock.Now())
	if !r.slowStart.Active("one", fakeClock.Now()) || r.slowStart.Active("two", fakeClock.Now()) {
		t.Error("want exactly the released runner in slow start")
	}
	if checkDueRunners(r); r.slowStart.Active("one", fakeClock.Now()) {
		t.Error("a warm runner is in slow start after it was asked")
	}
}

// TestUnverifyReturned_pause guards against a router that is suspended and goes on with the
// full load, or that takes its checks for pauses.
func TestUnverifyReturned_pause(t *testing.T) {
	r, fakeClock := newWarmRouter(t, startWarmupRunner(t, "one", "n"))
	limit := slowstart.Limit{RequestsPerSecond: 0.01, Routers: 1}
	for _, pause := range []time.Duration{time.Second, 2 * time.Second, 2*time.Second + 1} {
		fakeClock.Advance(pause)
		if admitted := r.slowStart.CanAdmit("one", limit, fakeClock.Now()); admitted != (pause <= 2*time.Second) {
			t.Errorf("after %v: got admitted %v", pause, admitted)
		}
		r.unverifyReturned(r.snapshots.Current(), fakeClock.Now())
	}
}
