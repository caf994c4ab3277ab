package canary

import (
	"strings"
	"testing"
	"time"

	"onyxwell/base/proptest"
	"onyxwell/control/rollout"
)

func TestMain(m *testing.M) { proptest.Run(m) }

// event is an action at a time after the order.
type event struct {
	at     time.Duration
	action func(f *fleet)
}

// simulate runs a rollout with events until 8 s after its term.
func (f *fleet) simulate(events ...event) {
	for step := range int(f.layout.warmUp / tickInterval) {
		f.tick(step)
	}
	f.orderedAt = f.clock.Now()
	f.targetListedAt = f.orderedAt.Add(f.layout.startDelay)
	f.oracle = oracle{}
	f.startRollout()
	ticks := int((f.layout.term + 8*time.Second) / tickInterval)
	for step := range ticks {
		for _, event := range events {
			if int(event.at/tickInterval) == step {
				event.action(f)
			}
		}
		f.tick(step)
	}
}

func failingAtRate(rate float64) func(string, time.Duration) (float64, float64) {
	return func(string, time.Duration) (float64, float64) { return rate, 1 }
}

// TestFleet_goodVersionFinishes checks that a good version finishes within the term when
// nothing else fails.
func TestFleet_goodVersionFinishes(t *testing.T) {
	for seed := range uint64(6) {
		f := newFleet(t, seed)
		f.simulate()
		f.checkFinished(t, seed)
	}
}

// checkFinished checks that the rollout finished within its term, without violations.
func (f *fleet) checkFinished(t *testing.T, seed uint64) {
	t.Helper()
	duration := f.oracle.conditionAt.Since(f.orderedAt)
	if f.oracle.condition != rollout.Finished || duration > f.layout.term || len(f.oracle.violations) > 0 {
		t.Errorf("seed %d: condition %s after %v, reason %q; %d violations, first %v", seed, f.oracle.condition, duration, f.record().Reason, len(f.oracle.violations), f.oracle.violations[:min(3, len(f.oracle.violations))])
	}
}

// TestFleet_rejectedRunnersTakeNoPart guards against runners of a version reverted before that
// count as old ones: as the control of the load test they got requests, and the rollout waited
// for as many runners of the target version as there were of both.
func TestFleet_rejectedRunnersTakeNoPart(t *testing.T) {
	layout := defaultLayout
	layout.rejectedRunners = 2 * runnersPerZone
	for seed := range uint64(6) {
		f := newFleetWithLayout(t, seed, layout)
		var begun rollout.Stage
		beginsBy := layout.startDelay + time.Second
		f.simulate(event{beginsBy, func(f *fleet) { begun = rollout.Stage(f.record().Stage) }})
		f.checkFinished(t, seed)
		if begun < rollout.Canary {
			t.Errorf("seed %d: stage %s %v after the order, want the canary", seed, begun, beginsBy)
		}
	}
}

// TestFleet_stableVersionOrderedAgain guards against an order that names the version which
// serves, after another was reverted: it got nothing without a permit, and no other version was
// left.
func TestFleet_stableVersionOrderedAgain(t *testing.T) {
	layout := defaultLayout
	layout.rejectedRunners = runnersPerZone
	for seed := range uint64(4) {
		f := newFleetWithLayout(t, seed, layout)
		f.target = oldVersion
		f.simulate()
		f.checkFinished(t, seed)
	}
}

// defects maps names to ways in which a bad version misbehaves. Each function returns the
// fraction of the requests that fail, and the factor by which the others take longer.
var defects = map[string]func(route string, since time.Duration) (failureRate, slowdown float64){
	"errors": failingAtRate(0.5),
	"some":   failingAtRate(0.3),
	"slow":   func(string, time.Duration) (float64, float64) { return 0, 8 },
	"late": func(_ string, since time.Duration) (float64, float64) {
		if since < 6*time.Second {
			return 0, 1
		}
		return 0.5, 1
	},
	"one route": func(route string, _ time.Duration) (float64, float64) {
		if route == "long" {
			return 0.5, 1
		}
		return 0, 1
	},
}

// TestFleet_badVersionIsReverted checks that a version with any of the defects is reverted
// within the term and the allowed exposure.
func TestFleet_badVersionIsReverted(t *testing.T) {
	for name, defect := range defects {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(4) {
				f := newFleet(t, seed)
				f.defect = defect
				f.simulate()
				f.checkReverted(t, seed)
			}
		})
	}
}

// checkReverted checks that the bad version was reverted within the term and the allowed
// exposure, without violations.
func (f *fleet) checkReverted(t *testing.T, seed uint64) {
	t.Helper()
	allowed := f.policy.ExposureShare*f.oracle.requests + f.policy.ExposureSlack
	duration := f.oracle.conditionAt.Since(f.orderedAt)
	if f.oracle.condition != rollout.Reverted || duration > f.layout.term {
		t.Errorf("seed %d: condition %s after %v, reason %q", seed, f.oracle.condition, duration, f.record().Reason)
	}
	if f.oracle.exposed > allowed {
		t.Errorf("seed %d: %.0f requests went to the bad version, at most %.0f are allowed", seed, f.oracle.exposed, allowed)
	}
	if len(f.oracle.violations) > 0 {
		t.Errorf("seed %d: %d violations, first %v", seed, len(f.oracle.violations), f.oracle.violations[:min(3, len(f.oracle.violations))])
	}
}

// disruptions returns the events of several kinds of failures during a rollout, by name.
func disruptions() map[string][]event {
	takeOver := func(f *fleet) { f.takeOver() }
	partition := func(zone int) func(*fleet) { return func(f *fleet) { f.setPartitioned(zone, true) } }
	heal := func(zone int) func(*fleet) { return func(f *fleet) { f.setPartitioned(zone, false) } }
	reconnect := func(zone int) func(*fleet) { return func(f *fleet) { f.markReconnected(zone) } }
	return map[string][]event{
		"takeover in the canary stage":     {{5 * time.Second, takeOver}},
		"takeover in each stage":           {{time.Second, takeOver}, {5 * time.Second, takeOver}, {9 * time.Second, takeOver}},
		"takeover while old runners drain": {{10 * time.Second, takeOver}},
		"zone partitioned":                 {{4 * time.Second, partition(1)}, {9 * time.Second, heal(1)}, {9*time.Second + reconnectTime, reconnect(1)}},
		"zone partitioned permanently":     {{6 * time.Second, partition(4)}},
		"region partitioned, and a takeover": {{5 * time.Second, partition(2)}, {5 * time.Second, partition(3)}, {6 * time.Second, takeOver},
			{12 * time.Second, heal(2)}, {12 * time.Second, heal(3)}},
	}
}

// TestFleet_invariantsHoldDuringFailures runs good and bad versions with each disruption: no
// invariant is violated, and a bad version is reverted within the term and the allowed exposure.
func TestFleet_invariantsHoldDuringFailures(t *testing.T) {
	for name, events := range disruptions() {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				good := newFleet(t, seed)
				good.simulate(events...)
				if len(good.oracle.violations) > 0 {
					t.Errorf("good version, seed %d: violations %v", seed, good.oracle.violations[:min(3, len(good.oracle.violations))])
				}
				bad := newFleet(t, seed)
				bad.defect = failingAtRate(0.5)
				bad.simulate(events...)
				bad.checkReverted(t, seed)
			}
		})
	}
}

// TestFleet_oracleDetectsInjectedFaults checks that the oracle reports each injected fault.
func TestFleet_oracleDetectsInjectedFaults(t *testing.T) {
	cases := []struct {
		name      string
		inject    func(f *fleet)
		events    []event
		violation string
	}{
		{"permits never expire", func(f *fleet) { f.permitsNeverExpire = true },
			[]event{{5 * time.Second, func(f *fleet) { f.setPartitioned(1, true) }}}, "sends to the target version"},
		{"routers confirm while old runners have requests", func(f *fleet) { f.alwaysConfirms = true }, nil, "runs on an old runner"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				f := newFleet(t, seed)
				test.inject(f)
				f.simulate(test.events...)
				if strings.Contains(strings.Join(f.oracle.violations, "\n"), test.violation) {
					return
				}
			}
			t.Errorf("the oracle did not report the fault with any of 10 seeds")
		})
	}
}

// TestFleet_exposureEndsWithoutStoredVerdict checks that a bad version stops getting
// requests even if the register loses all writes from 3.5 s on, so that the verdict is never
// stored.
func TestFleet_exposureEndsWithoutStoredVerdict(t *testing.T) {
	f := newFleet(t, 3)
	f.defect = failingAtRate(0.5)
	f.simulate(event{3500 * time.Millisecond, func(f *fleet) { f.dropsWrites = true }})
	if len(f.oracle.violations) > 0 || f.oracle.condition == rollout.Finished {
		t.Errorf("condition %s, violations %v", f.oracle.condition, f.oracle.violations)
	}
}

// TestFleet_badOnlyUnderHighLoad runs a version that is bad only on runners with more than 32
// requests in flight, more than twice the usual number (14 on old runners). It has to be
// reverted within the allowed exposure like any bad version.
func TestFleet_badOnlyUnderHighLoad(t *testing.T) {
	f := newFleet(t, 1)
	f.defect, f.defectAboveInFlight = failingAtRate(0.5), 32
	f.simulate()
	f.checkReverted(t, 1)
}
