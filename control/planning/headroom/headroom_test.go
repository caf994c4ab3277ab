package headroom

import (
	"math"
	"math/rand/v2"
	"testing"

	"onyxwell/base/ids"
	"onyxwell/control/config"
)

// syntheticReading returns the reading of count requests with a mean length in units,
// at a runner whose latency follows a known model with some noise.
func syntheticReading(route string, count int, mean float64, model LatencyModel) Reading {
	random := rand.New(rand.NewPCG(5, uint64(count)))
	total := Reading{Service: "s", Route: route}
	for range count {
		units := mean * (0.5 + random.Float64())
		firstTokenMS := model.BaseMS + model.PerUnitMS*units + 2*random.NormFloat64()
		total = total.Add(Reading{Service: "s", Route: route, Count: 1, Units: units, UnitsSquared: units * units, FirstTokenMS: firstTokenMS, UnitsFirstTokenMS: units * firstTokenMS})
	}
	return total
}

func TestFitLatencyModel_recoversParameters(t *testing.T) {
	want := LatencyModel{BaseMS: 40, PerUnitMS: 0.01}
	model, ok := FitLatencyModel([]Reading{syntheticReading("long", 200, 12000, want), syntheticReading("short", 400, 2000, want)})
	if !ok || math.Abs(model.BaseMS-40) > 2 || math.Abs(model.PerUnitMS-0.01) > 0.0005 {
		t.Fatalf("model %+v, ok %v", model, ok)
	}
}

func TestFitLatencyModel_insufficientData(t *testing.T) {
	cases := map[string]Reading{
		"too few requests": syntheticReading("long", minRequests-1, 12000, LatencyModel{BaseMS: 40, PerUnitMS: 0.01}),
		"equal lengths":    {Count: 100, Units: 100, UnitsSquared: 100, FirstTokenMS: 5, UnitsFirstTokenMS: 5},
	}
	for name, reading := range cases {
		t.Run(name, func(t *testing.T) {
			if model, ok := FitLatencyModel([]Reading{reading}); ok {
				t.Fatalf("unexpected fit %+v", model)
			}
		})
	}
}

// TestMaxGrowth_boundsLateFraction simulates a queue whose load has grown by MaxGrowth:
// about maxLateFraction of the requests must wait for longer than the queue budget. At
// 1.2 times that load, at least a tenth must.
func TestMaxGrowth_boundsLateFraction(t *testing.T) {
	const meanService, queueBudget = 50.0, 400.0
	load := Load{Utilization: 0.2, RouteUtilization: 0.2, ResidualMS: meanService}
	growth := load.MaxGrowth(queueBudget)
	if late := lateFraction(0.2*growth, meanService, queueBudget); late > 0.08 || late < 0.02 {
		t.Errorf("at growth %.2f, a fraction %.3f of the requests exceeds the queue budget", growth, late)
	}
	if late := lateFraction(math.Min(0.99, 0.2*growth*1.2), meanService, queueBudget); late < 0.1 {
		t.Errorf("at 1.2 times that load, only a fraction %.3f of the requests exceeds the queue budget", late)
	}
}

// lateFraction simulates a queue at a utilization and returns the fraction of the
// requests that wait for longer than queueBudget.
func lateFraction(utilization float64, meanService float64, queueBudget float64) float64 {
	random := rand.New(rand.NewPCG(7, 8))
	wait, late := 0.0, 0.0
	const count = 400000
	for range count {
		if wait > queueBudget {
			late++
		}
		wait = math.Max(0, wait+random.ExpFloat64()*meanService-random.ExpFloat64()*meanService/utilization)
	}
	return late / count
}

func TestMaxGrowth_limits(t *testing.T) {
	if got := (Load{Utilization: 0.5, RouteUtilization: 0.5, ResidualMS: 50}).MaxGrowth(-1); got != 0 {
		t.Errorf("growth %v for a target that cannot be met at any load, want 0", got)
	}
	if got := (Load{Utilization: 0.9, RouteUtilization: 0.1, ResidualMS: 200}).MaxRouteGrowth(300); got != 0 {
		t.Errorf("growth %v for a route whose runners other routes overload, want 0", got)
	}
	if got := (Load{}).MaxGrowth(300); got != growthCap {
		t.Errorf("growth %v without load", got)
	}
}

// newInput returns an input with a runner in each of the given states. The first two
// runners are in region r0, the others in r1, which route short may not use.
func newInput(states ...string) Input {
	model := LatencyModel{BaseMS: 40, PerUnitMS: 0.01}
	input := Input{Seconds: 10, Config: &config.Config{
		Services: []config.Service{{Name: "s", Engine: &config.Engine{}}, {Name: "plain"}},
		Routes: []config.Route{
			{Name: "long", Service: "s", LatencyTargetMS: 800}, {Name: "short", Service: "s", LatencyTargetMS: 1000, HomeRegions: []ids.Region{"r0"}},
		},
	}}
	input.Readings = []Reading{syntheticReading("long", 200, 12000, model), syntheticReading("short", 400, 2000, model)}
	for index, state := range states {
		region := ids.Region("r0")
		if index >= 2 {
			region = "r1"
		}
		input.Runners = append(input.Runners, Runner{ID: ids.RunnerID(rune('a' + index)), Service: "s", Region: region, State: state, UnitsPerS: 20000})
	}
	return input
}

// estimateService returns the headroom of service s, and fails the test if there is
// no data for it.
func estimateService(t *testing.T, input Input) Service {
	t.Helper()
	report := Estimate(input)
	if len(report.Services) != 2 || !report.Services[0].HasData || len(report.Services[0].Routes) != 2 {
		t.Fatalf("%+v", report)
	}
	return report.Services[0]
}

// TestEstimate_countsRunnersByState checks a service with four runners. Its headroom must
// not depend on how the work is distributed over the regions that a route may use, and
// must decrease if the runners of a region are not ready. Runners outside of a route's home
// regions must not count for that route.
func TestEstimate_countsRunnersByState(t *testing.T) {
	full := estimateService(t, newInput(StateReady, StateReady, StateReady, StateReady))
	idleRegion := newInput(StateReady, StateReady, StateReady, StateReady)
	idleRegion.Runners[0].UnitsPerS, idleRegion.Runners[1].UnitsPerS = 40000, 40000
	idleRegion.Runners[2].UnitsPerS, idleRegion.Runners[3].UnitsPerS = 0, 0
	shifted := estimateService(t, idleRegion)
	if math.Abs(full.Routes[0].MaxGrowth-shifted.Routes[0].MaxGrowth) > 0.01 {
		t.Errorf("growth differs between an even load (%v) and one idle region (%v)", full.Routes[0].MaxGrowth, shifted.Routes[0].MaxGrowth)
	}
	if shifted.Routes[1].MaxGrowth > 0.7*full.Routes[1].MaxGrowth {
		t.Errorf("runners outside of the route's home region count for it: %v", shifted.Routes[1])
	}
	if region := shifted.Regions[1]; region.Ready != 2 || region.Utilization != 0 {
		t.Errorf("idle region %+v, want 2 ready runners and utilization 0", region)
	}
	for _, state := range []string{"draining", "emptied", "resting", "cold"} {
		lost := estimateService(t, newInput(StateReady, StateReady, state, state))
		if lost.Routes[0].MaxGrowth > 0.6*full.Routes[0].MaxGrowth || lost.Regions[1].NotReady != 2 {
			t.Errorf("%s runners count as ready: growth %v, with all runners ready %v", state, lost.Routes[0].MaxGrowth, full.Routes[0].MaxGrowth)
		}
	}
	if none := estimateService(t, newInput("draining", "draining", StateReady, StateReady)); none.Routes[1].MaxGrowth > 1 {
		t.Errorf("growth %v for a route without a ready runner", none.Routes[1].MaxGrowth)
	}
}

func TestEstimate_noReadings(t *testing.T) {
	input := newInput(StateReady)
	input.Readings = nil
	service := Estimate(input).Services[0]
	if service.HasData || len(service.Routes) != 0 || service.MaxGrowth != 0 {
		t.Fatalf("%+v", service)
	}
}
