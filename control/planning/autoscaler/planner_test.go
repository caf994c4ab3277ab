package autoscaler

import (
	"fmt"
	"math"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
)

// harness plays routers that report to a scaler on a fake clock.
type harness struct {
	clock   *clock.Fake
	gossip  *gossip.Store
	planner *Planner
	runners []Runner
	epoch   int64
	leased  bool
}

func newHarness() *harness {
	made := &harness{clock: clock.NewFake(), gossip: gossip.NewStore(nil), epoch: 1, leased: true}
	for index := range 4 {
		region := ids.Region("north")
		if index == 3 {
			region = "south"
		}
		made.runners = append(made.runners, Runner{ID: ids.RunnerID(fmt.Sprint("i", index)), Service: "s", Version: "v1", Region: region, Ready: true})
	}
	made.planner = made.newPlanner()
	return made
}

func (h *harness) newPlanner() *Planner {
	return New(Options{
		Address: "c", Gossip: h.gossip, Runners: func() []Runner { return h.runners },
		Now:       h.clock.Now,
		Lease:     func(clock.Instant) (int64, bool) { return h.epoch, h.leased },
		NewSerial: func(epoch int64, counter int64) ids.Serial { return ids.Serial(epoch<<32 | counter) },
		Window:    60 * clock.Second, Interval: clock.Second, PlanEvery: 5,
	})
}

// run lets seconds pass in which each runner finishes its rate, at its limit.
func (h *harness) run(seconds int, rates map[ids.RunnerID]float64, demand float64) {
	for second := range seconds {
		report := ReportRequest{From: "r", Region: "north"}
		for _, runner := range h.runners {
			rate := rates[runner.ID]
			wobble := float64(second%3) - 1
			report.Samples = append(report.Samples, Sample{
				Runner: runner.ID, Service: "s", Arrived: rate, Finished: rate + 0.1*wobble,
				Running: 20 - 3*wobble, ExecutionMS: 500 * rate, MemoryUtilization: 0.5, Utilization: 0.5,
			})
		}
		report.Demands = []Demand{{Service: "s", Arrived: demand}}
		h.planner.AddReport(report)
		h.clock.Advance(clock.Second)
		h.planner.Tick(h.clock.Now(), clock.Second)
	}
}

// lastPlan is the last plan that was made; what was told of it must say the same.
func (h *harness) lastPlan(t *testing.T) Plan {
	t.Helper()
	item, found := h.gossip.Get(RoutingKey)
	if !found {
		t.Fatal("no plan was told")
	}
	routing, err := ReadRouting(item.Body)
	if err != nil {
		t.Fatal(err)
	}
	plan := h.planner.lastPlan
	for _, planned := range plan.Runners {
		if weight, resting := routing.weightOf(planned.Runner, Runner{Service: "s", Version: "v1"}); weight != planned.Weight || resting != planned.Quarantined {
			t.Fatalf("%+v is told as %v, resting %v", planned, weight, resting)
		}
	}
	return plan
}

func (p Plan) runner(id ids.RunnerID) RunnerPlan {
	for _, planned := range p.Runners {
		if planned.Runner == id {
			return planned
		}
	}
	return RunnerPlan{}
}

func TestPlanner_weightsFollowRateLimits(t *testing.T) {
	bench := newHarness()
	bench.run(58, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 30, "i3": 10}, 60)
	plan := bench.lastPlan(t)
	slow, fast := plan.runner("i0"), plan.runner("i2")
	if fast.Weight != fast.RateLimit && math.Abs(fast.Weight-fast.RateLimit) > weightTolerance*fast.RateLimit {
		t.Fatalf("a weight is not its ceiling: %+v", fast)
	}
	if fast.Weight < 1.6*slow.Weight {
		t.Fatalf("a runner three times as fast has %v against %v", fast.Weight, slow.Weight)
	}
	bench.runners[2].WarmingUp = true
	bench.run(5, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 30, "i3": 10}, 60)
	if cold := bench.lastPlan(t).runner("i2"); cold.Weight > 0.6*fast.Weight {
		t.Fatalf("a cold runner keeps its weight: %+v", cold)
	}
}

func TestPlanner_spillsOnlyExcessDemand(t *testing.T) {
	bench := newHarness()
	rates := map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 10, "i3": 10}
	bench.run(40, rates, 15)
	for _, flow := range bench.lastPlan(t).Flows {
		if flow.Target != "north" || flow.Share != 1 {
			t.Fatalf("a region that can bear its load spills: %+v", flow)
		}
	}
	bench.run(40, rates, 60)
	shares := map[ids.Region]float64{}
	for _, flow := range bench.lastPlan(t).Flows {
		shares[flow.Target] += flow.Share
	}
	if shares["north"] > 0.7 || shares["south"] < 0.3 || math.Abs(shares["north"]+shares["south"]-1) > 0.02 {
		t.Fatalf("the excess is not spilled: %v", shares)
	}
	needed := 0.0
	for _, replicas := range bench.lastPlan(t).Replicas {
		needed += replicas.Needed
	}
	if needed != 4 {
		t.Fatalf("%v replicas for a load over all ceilings", needed)
	}
}

func TestPlanner_missingMetricsDecayToType(t *testing.T) {
	bench := newHarness()
	bench.run(58, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 30, "i3": 10}, 60)
	before := bench.lastPlan(t).runner("i2").RateLimit
	quiet := bench.runners[2]
	bench.runners = append(bench.runners[:2:2], bench.runners[3])
	bench.run(1, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i3": 10}, 60)
	bench.runners = append(bench.runners, quiet)
	for range 70 {
		report := ReportRequest{Region: "north"}
		for _, id := range []ids.RunnerID{"i0", "i1", "i3"} {
			report.Samples = append(report.Samples, Sample{Runner: id, Service: "s", Finished: 10, Running: 20, Arrived: 10})
		}
		bench.planner.AddReport(report)
		bench.clock.Advance(clock.Second)
		bench.planner.Tick(bench.clock.Now(), clock.Second)
	}
	after := bench.lastPlan(t).runner("i2").RateLimit
	if after <= 0 || after >= before*0.8 {
		t.Fatalf("the ceiling of a runner without metrics went from %v to %v", before, after)
	}
}

func TestPlanner_nextOwnerRestoresPlan(t *testing.T) {
	bench := newHarness()
	bench.run(40, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 10, "i3": 10}, 20)
	first, _ := bench.gossip.Get(RoutingKey)
	whole, _ := bench.gossip.Get(PlanKey)
	told, err := ReadPlan(whole.Body)
	before := told.runner("i0").RateLimit
	if err != nil || before <= 0 {
		t.Fatalf("the whole plan: %+v %v", told, err)
	}
	bench.planner = bench.newPlanner()
	bench.epoch = 2
	bench.clock.Advance(clock.Second)
	bench.planner.Tick(bench.clock.Now(), clock.Second)
	second, _ := bench.gossip.Get(RoutingKey)
	if second.Version <= first.Version || bench.lastPlan(t).runner("i0").RateLimit != before {
		t.Fatalf("%d then %d, ceiling %v", first.Version, second.Version, bench.lastPlan(t).runner("i0").RateLimit)
	}
	bench.leased = false
	bench.clock.Advance(clock.Second)
	bench.planner.Tick(bench.clock.Now(), clock.Second)
	if third, _ := bench.gossip.Get(RoutingKey); third.Version != second.Version {
		t.Fatal("a daemon without the duty planned")
	}
}

func TestPlanner_failingRunnerIsQuarantined(t *testing.T) {
	bench := newHarness()
	rates := map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 10, "i3": 10}
	bench.run(30, rates, 20)
	report := ReportRequest{Region: "north", Samples: []Sample{{Runner: "i1", Service: "s", Arrived: 40, Failed: 30, Running: 90, Pending: 90, MemoryUtilization: 1, Utilization: 1}}}
	bench.planner.AddReport(report)
	bench.clock.Advance(clock.Second)
	bench.planner.Tick(bench.clock.Now(), clock.Second)
	if !bench.lastPlan(t).runner("i1").Quarantined {
		t.Fatal("a runner that breaks all it gets stays in rotation")
	}
	bench.run(quarantineSteps+1, rates, 20)
	if bench.lastPlan(t).runner("i1").Quarantined {
		t.Fatal("the runner never came back")
	}
}

// TestPlanner_leaseLostWhilePlanning has the duty end while a plan is made.
func TestPlanner_leaseLostWhilePlanning(t *testing.T) {
	bench := newHarness()
	runners := bench.runners
	bench.planner.options.Runners = func() []Runner { bench.leased = false; return runners }
	bench.run(1, nil, 1)
	if _, told := bench.gossip.Get(RoutingKey); told {
		t.Fatal("a plan is told after the duty ended")
	}
}

// TestPlanner_staleOwnerDoesNotOverwrite has a planner freeze between its last look at
// the duty and its plan, and wake after another told its own.
func TestPlanner_staleOwnerDoesNotOverwrite(t *testing.T) {
	bench := newHarness()
	rates := map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 10, "i3": 10}
	bench.run(30, rates, 20)
	frozen, next, looks := bench.planner, bench.newPlanner(), 0
	frozen.options.Lease = func(now clock.Instant) (int64, bool) {
		if looks++; looks == 2 {
			bench.epoch = 2
			bench.clock.Advance(10 * clock.Second)
			next.Tick(bench.clock.Now(), clock.Second)
		}
		return 1, true
	}
	bench.runners = bench.runners[:2]
	frozen.Tick(bench.clock.Now(), clock.Second)
	if item, _ := bench.gossip.Get(RoutingKey); looks != 2 || item.Version>>32 != 2 {
		t.Fatalf("after %d looks a plan of epoch %d stands", looks, item.Version>>32)
	}
}
