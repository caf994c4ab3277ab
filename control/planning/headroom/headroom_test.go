package headroom

import (
	"math"
	"math/rand/v2"
	"testing"

	"onyxwell/base/ids"
	"onyxwell/control/config"
)

// syntheticReading sums the readings of requests of a size at a runner of a known pace.
func syntheticReading(route string, count int, mean float64, pace LatencyModel) Reading {
	chance := rand.New(rand.NewPCG(5, uint64(count)))
	total := Reading{Service: "s", Route: route}
	for range count {
		units := mean * (0.5 + chance.Float64())
		first := pace.BaseMS + pace.PerUnitMS*units + 2*chance.NormFloat64()
		total = total.Add(Reading{Service: "s", Route: route, Count: 1, Units: units, UnitsSquared: units * units, FirstTokenMS: first, UnitsFirstTokenMS: units * first})
	}
	return total
}

func TestFitLatencyModel_recoversParameters(t *testing.T) {
	want := LatencyModel{BaseMS: 40, PerUnitMS: 0.01}
	pace, enough := FitLatencyModel([]Reading{syntheticReading("long", 200, 12000, want), syntheticReading("short", 400, 2000, want)})
	if !enough || math.Abs(pace.BaseMS-40) > 2 || math.Abs(pace.PerUnitMS-0.01) > 0.0005 {
		t.Fatalf("%+v %v", pace, enough)
	}
	if _, enough := FitLatencyModel([]Reading{syntheticReading("long", minCount-1, 12000, want)}); enough {
		t.Fatal("too few answers make a pace")
	}
	if _, enough := FitLatencyModel([]Reading{{Count: 100, Units: 100, UnitsSquared: 100, FirstTokenMS: 5, UnitsFirstTokenMS: 5}}); enough {
		t.Fatal("answers of one size make a pace")
	}
}

// TestMaxGrowth_boundsLateFraction plays the queue that the factor speaks of: a server
// with the load grown by it keeps nearly all waits under the spare time, and
// one with half as much again does not.
func TestMaxGrowth_boundsLateFraction(t *testing.T) {
	const service, spare = 50.0, 400.0
	load := Load{Utilization: 0.2, RouteUtilization: 0.2, ResidualMS: service}
	factor := MaxGrowth(load, spare, true)
	if late := lateFraction(0.2*factor, service, spare); late > 0.08 || late < 0.02 {
		t.Errorf("at the factor %.2f, %.3f wait too long", factor, late)
	}
	if late := lateFraction(math.Min(0.99, 0.2*factor*1.2), service, spare); late < 0.1 {
		t.Errorf("well over the factor only %.3f wait too long", late)
	}
}

// lateFraction is the share of waits over the spare time at a queue of that load.
func lateFraction(load float64, service float64, spare float64) float64 {
	chance := rand.New(rand.NewPCG(7, 8))
	wait, late := 0.0, 0.0
	const count = 400000
	for range count {
		if wait > spare {
			late++
		}
		wait = math.Max(0, wait+chance.ExpFloat64()*service-chance.ExpFloat64()*service/load)
	}
	return late / count
}

func TestMaxGrowth_limits(t *testing.T) {
	if got := MaxGrowth(Load{Utilization: 0.5, RouteUtilization: 0.5, ResidualMS: 50}, -1, true); got != 0 {
		t.Errorf("a goal that no load keeps has room %v", got)
	}
	if got := MaxGrowth(Load{Utilization: 0.9, RouteUtilization: 0.1, ResidualMS: 200}, 300, false); got != 0 {
		t.Errorf("a route among others' overload has room %v", got)
	}
	if got := MaxGrowth(Load{}, 300, true); got != growthCap {
		t.Errorf("no load has room %v", got)
	}
}

func newInput(standings ...string) Input {
	pace := LatencyModel{BaseMS: 40, PerUnitMS: 0.01}
	made := Input{Seconds: 10, Config: &config.Config{
		Services: []config.Service{{Name: "s", Engine: &config.Engine{}}, {Name: "plain"}},
		Routes: []config.Route{
			{Name: "long", Service: "s", LatencyTargetMS: 800}, {Name: "short", Service: "s", LatencyTargetMS: 1000, HomeRegions: []ids.Region{"r0"}},
		},
	}}
	made.Readings = []Reading{syntheticReading("long", 200, 12000, pace), syntheticReading("short", 400, 2000, pace)}
	for index, standing := range standings {
		region := ids.Region("r0")
		if index >= 2 {
			region = "r1"
		}
		made.Runners = append(made.Runners, Runner{ID: ids.RunnerID(rune('a' + index)), Service: "s", Region: region, State: standing, UnitsPerS: 20000})
	}
	return made
}

func estimate(t *testing.T, given Input) Service {
	t.Helper()
	report := Estimate(given)
	if len(report.Services) != 2 || !report.Services[0].HasData || len(report.Services[0].Routes) != 2 {
		t.Fatalf("%+v", report)
	}
	return report.Services[0]
}

// TestEstimate_countsRunnersByState compares fleets of four: one that is whole,
// one with a quiet region whose work the other does, and one whose region
// stands ready no more.
func TestEstimate_countsRunnersByState(t *testing.T) {
	whole := estimate(t, newInput(Ready, Ready, Ready, Ready))
	quiet := newInput(Ready, Ready, Ready, Ready)
	quiet.Runners[0].UnitsPerS, quiet.Runners[1].UnitsPerS = 40000, 40000
	quiet.Runners[2].UnitsPerS, quiet.Runners[3].UnitsPerS = 0, 0
	absorbed := estimate(t, quiet)
	if math.Abs(whole.Routes[0].GrowthTogether-absorbed.Routes[0].GrowthTogether) > 0.01 {
		t.Errorf("a quiet region's runners count for less: %v, %v", whole.Routes[0].GrowthTogether, absorbed.Routes[0].GrowthTogether)
	}
	if absorbed.Routes[1].GrowthTogether > 0.7*whole.Routes[1].GrowthTogether {
		t.Errorf("runners away from home count for a route that can't use them: %v", absorbed.Routes[1])
	}
	if region := absorbed.Regions[1]; region.Ready != 2 || region.Utilization != 0 {
		t.Errorf("the quiet region is not told: %+v", region)
	}
	for _, standing := range []string{"draining", "emptied", "resting", "cold"} {
		lost := estimate(t, newInput(Ready, Ready, standing, standing))
		if lost.Routes[0].GrowthTogether > 0.6*whole.Routes[0].GrowthTogether || lost.Regions[1].NotReady != 2 {
			t.Errorf("%s runners count: %v of %v", standing, lost.Routes[0].GrowthTogether, whole.Routes[0].GrowthTogether)
		}
	}
	if gone := estimate(t, newInput("draining", "draining", Ready, Ready)); gone.Routes[1].GrowthTogether > 1 {
		t.Errorf("a route without a runner at home has room %v", gone.Routes[1].GrowthTogether)
	}
}

func TestEstimate_noReadings(t *testing.T) {
	given := newInput(Ready)
	given.Readings = nil
	family := Estimate(given).Services[0]
	if family.HasData || len(family.Routes) != 0 || family.GrowthTogether != 0 {
		t.Fatalf("%+v", family)
	}
}
