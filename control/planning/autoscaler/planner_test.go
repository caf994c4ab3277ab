package autoscaler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
)

// harness runs a planner on a fake clock and sends it reports as routers do. Runners i0
// to i2 are in region north, i3 is in region south.
type harness struct {
	clock   *clock.Fake
	gossip  *gossip.Store
	planner *Planner
	runners []Runner
	epoch   int64
	leased  bool
}

func newHarness() *harness {
	h := &harness{clock: clock.NewFake(), gossip: gossip.NewStore(nil), epoch: 1, leased: true}
	for index := range 4 {
		region := ids.Region("north")
		if index == 3 {
			region = "south"
		}
		h.runners = append(h.runners, Runner{ID: ids.RunnerID(fmt.Sprint("i", index)), Service: "s", Version: "v1", Region: region, Ready: true})
	}
	h.planner = h.newPlanner()
	return h
}

func (h *harness) newPlanner() *Planner {
	return New(Options{
		Address: "c", Gossip: h.gossip, Runners: func() []Runner { return h.runners },
		Now:       h.clock.Now,
		Lease:     func(clock.Instant) (int64, bool) { return h.epoch, h.leased },
		NewSerial: func(epoch int64, counter int64) ids.Version { return ids.Version(epoch<<32 | counter) },
		Window:    60 * time.Second, Interval: time.Second, TicksPerPlan: 5,
	})
}

// tick advances the clock by a second and calls Tick.
func (h *harness) tick() {
	h.clock.Advance(time.Second)
	h.planner.Tick(h.clock.Now(), time.Second)
}

// report adds a report for the current second and ends that second.
func (h *harness) report(report ReportRequest) {
	h.planner.AddReport(report)
	h.tick()
}

// run simulates seconds in which each runner finishes requests at its rate. The rate is
// the runner's limit, since it does not increase with the number of running requests.
func (h *harness) run(seconds int, rates map[ids.RunnerID]float64, demand float64) {
	for second := range seconds {
		report := ReportRequest{From: "r", Region: "north"}
		for _, runner := range h.runners {
			rate := rates[runner.ID]
			noise := float64(second%3) - 1
			report.Samples = append(report.Samples, Sample{
				Runner: runner.ID, Service: "s", Arrived: rate, Finished: rate + 0.1*noise,
				Running: 20 - 3*noise, ExecutionMS: 500 * rate, MemoryUtilization: 0.5, Utilization: 0.5,
			})
		}
		report.Demands = []Demand{{Service: "s", Arrived: demand}}
		h.report(report)
	}
}

// lastPlan returns the last plan. It fails the test if the published routing does not
// match that plan.
func (h *harness) lastPlan(t *testing.T) Plan {
	t.Helper()
	item, ok := h.gossip.Get(RoutingKey)
	if !ok {
		t.Fatal("no routing was published")
	}
	routing, err := ReadRouting(item.Body)
	if err != nil {
		t.Fatal(err)
	}
	plan := h.planner.lastPlan
	for _, planned := range plan.Runners {
		if weight, quarantined := routing.weightOf(planned.Runner, Runner{Service: "s", Version: "v1"}); weight != planned.Weight || quarantined != planned.Quarantined {
			t.Fatalf("planned %+v, published weight %v, quarantined %v", planned, weight, quarantined)
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
	h := newHarness()
	h.run(58, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 30, "i3": 10}, 60)
	plan := h.lastPlan(t)
	slow, fast := plan.runner("i0"), plan.runner("i2")
	if fast.Weight != fast.RateLimit && math.Abs(fast.Weight-fast.RateLimit) > weightTolerance*fast.RateLimit {
		t.Fatalf("weight differs from the rate limit: %+v", fast)
	}
	if fast.Weight < 1.6*slow.Weight {
		t.Fatalf("a runner three times as fast has weight %v, the others %v", fast.Weight, slow.Weight)
	}
	h.runners[2].WarmingUp = true
	h.run(5, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 30, "i3": 10}, 60)
	if warming := h.lastPlan(t).runner("i2"); warming.Weight > 0.6*fast.Weight {
		t.Fatalf("weight of a runner that is warming up is not reduced: %+v", warming)
	}
}

func TestPlanner_spillsOnlyExcessDemand(t *testing.T) {
	h := newHarness()
	rates := map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 10, "i3": 10}
	h.run(40, rates, 15)
	for _, flow := range h.lastPlan(t).Flows {
		if flow.Target != "north" || flow.Share != 1 {
			t.Fatalf("demand below the region's limit spills over: %+v", flow)
		}
	}
	h.run(40, rates, 60)
	shares := map[ids.Region]float64{}
	for _, flow := range h.lastPlan(t).Flows {
		shares[flow.Target] += flow.Share
	}
	if shares["north"] > 0.7 || shares["south"] < 0.3 || math.Abs(shares["north"]+shares["south"]-1) > 0.02 {
		t.Fatalf("excess demand does not spill over: shares %v", shares)
	}
	needed := 0.0
	for _, replicas := range h.lastPlan(t).Replicas {
		needed += replicas.Needed
	}
	if needed != 4 {
		t.Fatalf("%v replicas for a load above all limits, want 4", needed)
	}
}

func TestPlanner_missingMetricsDecayToType(t *testing.T) {
	h := newHarness()
	h.run(58, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 30, "i3": 10}, 60)
	before := h.lastPlan(t).runner("i2").RateLimit
	unreported := h.runners[2]
	h.runners = append(h.runners[:2:2], h.runners[3])
	h.run(1, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i3": 10}, 60)
	h.runners = append(h.runners, unreported)
	for range 70 {
		report := ReportRequest{Region: "north"}
		for _, id := range []ids.RunnerID{"i0", "i1", "i3"} {
			report.Samples = append(report.Samples, Sample{Runner: id, Service: "s", Finished: 10, Running: 20, Arrived: 10})
		}
		h.report(report)
	}
	after := h.lastPlan(t).runner("i2").RateLimit
	if after <= 0 || after >= before*0.8 {
		t.Fatalf("rate limit of a runner without metrics changed from %v to %v", before, after)
	}
}

func TestPlanner_nextOwnerRestoresPlan(t *testing.T) {
	h := newHarness()
	h.run(40, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 10, "i3": 10}, 20)
	first, _ := h.gossip.Get(RoutingKey)
	item, _ := h.gossip.Get(PlanKey)
	plan, err := ReadPlan(item.Body)
	before := plan.runner("i0").RateLimit
	if err != nil || before <= 0 {
		t.Fatalf("published plan %+v, error %v", plan, err)
	}
	h.planner = h.newPlanner()
	h.epoch = 2
	h.tick()
	second, _ := h.gossip.Get(RoutingKey)
	if second.Version <= first.Version || h.lastPlan(t).runner("i0").RateLimit != before {
		t.Fatalf("first owner published version %d, second version %d with rate limit %v", first.Version, second.Version, h.lastPlan(t).runner("i0").RateLimit)
	}
	h.leased = false
	h.tick()
	if third, _ := h.gossip.Get(RoutingKey); third.Version != second.Version {
		t.Fatal("a daemon without the lease published a routing")
	}
}

func TestPlanner_failingRunnerIsQuarantined(t *testing.T) {
	h := newHarness()
	rates := map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 10, "i3": 10}
	h.run(30, rates, 20)
	report := ReportRequest{Region: "north", Samples: []Sample{{Runner: "i1", Service: "s", Arrived: 40, Failed: 30, Running: 90, Pending: 90, MemoryUtilization: 1, Utilization: 1}}}
	h.report(report)
	if !h.lastPlan(t).runner("i1").Quarantined {
		t.Fatal("a runner at which all requests fail is not quarantined")
	}
	h.run(quarantineTicks+1, rates, 20)
	if h.lastPlan(t).runner("i1").Quarantined {
		t.Fatal("the quarantine did not end")
	}
}

// TestPlanner_leaseLostWhilePlanning loses the lease between the first check and the
// publication of the plan: nothing must be published.
func TestPlanner_leaseLostWhilePlanning(t *testing.T) {
	h := newHarness()
	runners := h.runners
	h.planner.options.Runners = func() []Runner { h.leased = false; return runners }
	h.run(1, nil, 1)
	if _, ok := h.gossip.Get(RoutingKey); ok {
		t.Fatal("a routing was published after the lease was lost")
	}
}

// TestPlanner_staleOwnerDoesNotOverwrite has a planner stall in its last check of the
// lease, and publish after the next owner has published: it must not overwrite the next
// owner's routing.
func TestPlanner_staleOwnerDoesNotOverwrite(t *testing.T) {
	h := newHarness()
	rates := map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 10, "i3": 10}
	h.run(30, rates, 20)
	frozen, next, checks := h.planner, h.newPlanner(), 0
	frozen.options.Lease = func(now clock.Instant) (int64, bool) {
		if checks++; checks == 2 {
			h.epoch = 2
			h.clock.Advance(10 * time.Second)
			next.Tick(h.clock.Now(), time.Second)
		}
		return 1, true
	}
	h.runners = h.runners[:2]
	frozen.Tick(h.clock.Now(), time.Second)
	if item, _ := h.gossip.Get(RoutingKey); checks != 2 || item.Version>>32 != 2 {
		t.Fatalf("%d checks of the lease, published epoch %d, want 2 and 2", checks, item.Version>>32)
	}
}
