package autoscaler

import (
	"fmt"
	"math"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
)

// bench plays routers that report to a scaler on a fake clock.
type bench struct {
	clock   *clock.Fake
	news    *gossip.Store
	scaler  *Scaler
	runners []Listed
	epoch   int64
	held    bool
}

func newBench() *bench {
	made := &bench{clock: clock.NewFake(), news: gossip.NewStore(nil), epoch: 1, held: true}
	for index := range 4 {
		region := ids.Region("north")
		if index == 3 {
			region = "south"
		}
		made.runners = append(made.runners, Listed{ID: ids.RunnerID(fmt.Sprint("i", index)), Service: "s", Version: "v1", Region: region, Ready: true})
	}
	made.scaler = made.fresh()
	return made
}

func (b *bench) fresh() *Scaler {
	return New(Options{
		Address: "c", News: b.news, Runners: func() []Listed { return b.runners },
		Now:    b.clock.Now,
		Held:   func(clock.Instant) (int64, bool) { return b.epoch, b.held },
		Serial: func(epoch int64, counter int64) ids.Serial { return ids.Serial(epoch<<32 | counter) },
		Window: 60 * clock.Second, Step: clock.Second, Pace: 5,
	})
}

// pass lets seconds pass in which each runner finishes its rate, at its limit.
func (b *bench) pass(seconds int, rates map[ids.RunnerID]float64, demand float64) {
	for second := range seconds {
		report := ReportAsk{From: "r", Region: "north"}
		for _, runner := range b.runners {
			rate := rates[runner.ID]
			wobble := float64(second%3) - 1
			report.Samples = append(report.Samples, Sample{
				Runner: runner.ID, Service: "s", Arrived: rate, Finished: rate + 0.1*wobble,
				Running: 20 - 3*wobble, SpentMS: 500 * rate, Memory: 0.5, Busy: 0.5,
			})
		}
		report.Demands = []Demand{{Service: "s", Arrived: demand}}
		b.scaler.Take(report)
		b.clock.Move(clock.Second)
		b.scaler.Look(b.clock.Now(), clock.Second)
	}
}

// plan is the last plan that was made; what was told of it must say the same.
func (b *bench) plan(t *testing.T) Plan {
	t.Helper()
	item, found := b.news.Get(Key)
	if !found {
		t.Fatal("no plan was told")
	}
	routing, err := ReadRouting(item.Body)
	if err != nil {
		t.Fatal(err)
	}
	plan := b.scaler.made
	for _, planned := range plan.Runners {
		if weight, resting := routing.of(planned.Runner, Listed{Service: "s", Version: "v1"}); weight != planned.Weight || resting != planned.Resting {
			t.Fatalf("%+v is told as %v, resting %v", planned, weight, resting)
		}
	}
	return plan
}

func (p Plan) of(id ids.RunnerID) RunnerPlan {
	for _, planned := range p.Runners {
		if planned.Runner == id {
			return planned
		}
	}
	return RunnerPlan{}
}

func TestWeightsFollowTheCeilings(t *testing.T) {
	bench := newBench()
	bench.pass(58, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 30, "i3": 10}, 60)
	plan := bench.plan(t)
	slow, fast := plan.of("i0"), plan.of("i2")
	if fast.Weight != fast.Limit && math.Abs(fast.Weight-fast.Limit) > slack*fast.Limit {
		t.Fatalf("a weight is not its ceiling: %+v", fast)
	}
	if fast.Weight < 1.6*slow.Weight {
		t.Fatalf("a runner three times as fast has %v against %v", fast.Weight, slow.Weight)
	}
	bench.runners[2].Cold = true
	bench.pass(5, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 30, "i3": 10}, 60)
	if cold := bench.plan(t).of("i2"); cold.Weight > 0.6*fast.Weight {
		t.Fatalf("a cold runner keeps its weight: %+v", cold)
	}
}

func TestOwnRegionFirstThenTheExcess(t *testing.T) {
	bench := newBench()
	rates := map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 10, "i3": 10}
	bench.pass(40, rates, 15)
	for _, flow := range bench.plan(t).Flows {
		if flow.Target != "north" || flow.Share != 1 {
			t.Fatalf("a region that can bear its load spills: %+v", flow)
		}
	}
	bench.pass(40, rates, 60)
	shares := map[ids.Region]float64{}
	for _, flow := range bench.plan(t).Flows {
		shares[flow.Target] += flow.Share
	}
	if shares["north"] > 0.7 || shares["south"] < 0.3 || math.Abs(shares["north"]+shares["south"]-1) > 0.02 {
		t.Fatalf("the excess is not spilled: %v", shares)
	}
	needed := 0.0
	for _, replicas := range bench.plan(t).Replicas {
		needed += replicas.Needed
	}
	if needed != 4 {
		t.Fatalf("%v replicas for a load over all ceilings", needed)
	}
}

func TestMissingMetricsDecayToTheType(t *testing.T) {
	bench := newBench()
	bench.pass(58, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 30, "i3": 10}, 60)
	before := bench.plan(t).of("i2").Limit
	quiet := bench.runners[2]
	bench.runners = append(bench.runners[:2:2], bench.runners[3])
	bench.pass(1, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i3": 10}, 60)
	bench.runners = append(bench.runners, quiet)
	for range 70 {
		report := ReportAsk{Region: "north"}
		for _, id := range []ids.RunnerID{"i0", "i1", "i3"} {
			report.Samples = append(report.Samples, Sample{Runner: id, Service: "s", Finished: 10, Running: 20, Arrived: 10})
		}
		bench.scaler.Take(report)
		bench.clock.Move(clock.Second)
		bench.scaler.Look(bench.clock.Now(), clock.Second)
	}
	after := bench.plan(t).of("i2").Limit
	if after <= 0 || after >= before*0.8 {
		t.Fatalf("the ceiling of a runner without metrics went from %v to %v", before, after)
	}
}

func TestNextHolderGoesOnFromThePlan(t *testing.T) {
	bench := newBench()
	bench.pass(40, map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 10, "i3": 10}, 20)
	first, _ := bench.news.Get(Key)
	whole, _ := bench.news.Get(WholeKey)
	told, err := ReadPlan(whole.Body)
	before := told.of("i0").Limit
	if err != nil || before <= 0 {
		t.Fatalf("the whole plan: %+v %v", told, err)
	}
	bench.scaler = bench.fresh()
	bench.epoch = 2
	bench.clock.Move(clock.Second)
	bench.scaler.Look(bench.clock.Now(), clock.Second)
	second, _ := bench.news.Get(Key)
	if second.Version <= first.Version || bench.plan(t).of("i0").Limit != before {
		t.Fatalf("%d then %d, ceiling %v", first.Version, second.Version, bench.plan(t).of("i0").Limit)
	}
	bench.held = false
	bench.clock.Move(clock.Second)
	bench.scaler.Look(bench.clock.Now(), clock.Second)
	if third, _ := bench.news.Get(Key); third.Version != second.Version {
		t.Fatal("a daemon without the duty planned")
	}
}

func TestBrokenRunnerRests(t *testing.T) {
	bench := newBench()
	rates := map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 10, "i3": 10}
	bench.pass(30, rates, 20)
	report := ReportAsk{Region: "north", Samples: []Sample{{Runner: "i1", Service: "s", Arrived: 40, Failed: 30, Running: 90, Pending: 90, Memory: 1, Busy: 1}}}
	bench.scaler.Take(report)
	bench.clock.Move(clock.Second)
	bench.scaler.Look(bench.clock.Now(), clock.Second)
	if !bench.plan(t).of("i1").Resting {
		t.Fatal("a runner that breaks all it gets stays in rotation")
	}
	bench.pass(restSteps+1, rates, 20)
	if bench.plan(t).of("i1").Resting {
		t.Fatal("the runner never came back")
	}
}

// TestDutyThatEndsMeanwhileTellsNothing has the duty end while a plan is made.
func TestDutyThatEndsMeanwhileTellsNothing(t *testing.T) {
	bench := newBench()
	runners := bench.runners
	bench.scaler.options.Runners = func() []Listed { bench.held = false; return runners }
	bench.pass(1, nil, 1)
	if _, told := bench.news.Get(Key); told {
		t.Fatal("a plan is told after the duty ended")
	}
}

// TestFrozenHolderOverridesNothing has a planner freeze between its last look at
// the duty and its plan, and wake after another told its own.
func TestFrozenHolderOverridesNothing(t *testing.T) {
	bench := newBench()
	rates := map[ids.RunnerID]float64{"i0": 10, "i1": 10, "i2": 10, "i3": 10}
	bench.pass(30, rates, 20)
	frozen, next, looks := bench.scaler, bench.fresh(), 0
	frozen.options.Held = func(now clock.Instant) (int64, bool) {
		if looks++; looks == 2 {
			bench.epoch = 2
			bench.clock.Move(10 * clock.Second)
			next.Look(bench.clock.Now(), clock.Second)
		}
		return 1, true
	}
	bench.runners = bench.runners[:2]
	frozen.Look(bench.clock.Now(), clock.Second)
	if item, _ := bench.news.Get(Key); looks != 2 || item.Version>>32 != 2 {
		t.Fatalf("after %d looks a plan of epoch %d stands", looks, item.Version>>32)
	}
}
