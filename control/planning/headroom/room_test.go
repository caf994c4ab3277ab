package headroom

import (
	"math"
	"math/rand/v2"
	"testing"

	"onyxwell/base/ids"
	"onyxwell/control/config"
)

// reads sums the readings of requests of a size at a runner of a known pace.
func reads(route string, count int, mean float64, pace Pace) Reading {
	chance := rand.New(rand.NewPCG(5, uint64(count)))
	total := Reading{Service: "s", Route: route}
	for range count {
		units := mean * (0.5 + chance.Float64())
		first := pace.StartMS + pace.UnitMS*units + 2*chance.NormFloat64()
		total = total.Plus(Reading{Service: "s", Route: route, Count: 1, Units: units, UnitsSquared: units * units, FirstMS: first, Crossed: units * first})
	}
	return total
}

func TestPaceIsFound(t *testing.T) {
	want := Pace{StartMS: 40, UnitMS: 0.01}
	pace, enough := FitPace([]Reading{reads("long", 200, 12000, want), reads("short", 400, 2000, want)})
	if !enough || math.Abs(pace.StartMS-40) > 2 || math.Abs(pace.UnitMS-0.01) > 0.0005 {
		t.Fatalf("%+v %v", pace, enough)
	}
	if _, enough := FitPace([]Reading{reads("long", fewest-1, 12000, want)}); enough {
		t.Fatal("too few answers make a pace")
	}
	if _, enough := FitPace([]Reading{{Count: 100, Units: 100, UnitsSquared: 100, FirstMS: 5, Crossed: 5}}); enough {
		t.Fatal("answers of one size make a pace")
	}
}

// TestFactorKeepsItsWord plays the queue that the factor speaks of: a server
// with the load grown by it keeps nearly all waits under the spare time, and
// one with half as much again does not.
func TestFactorKeepsItsWord(t *testing.T) {
	const service, spare = 50.0, 400.0
	load := Load{Used: 0.2, Own: 0.2, RestMS: service}
	factor := Factor(load, spare, true)
	if late := lateOf(0.2*factor, service, spare); late > 0.08 || late < 0.02 {
		t.Errorf("at the factor %.2f, %.3f wait too long", factor, late)
	}
	if late := lateOf(math.Min(0.99, 0.2*factor*1.2), service, spare); late < 0.1 {
		t.Errorf("well over the factor only %.3f wait too long", late)
	}
}

// lateOf is the share of waits over the spare time at a queue of that load.
func lateOf(load float64, service float64, spare float64) float64 {
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

func TestFactorsEnds(t *testing.T) {
	if got := Factor(Load{Used: 0.5, Own: 0.5, RestMS: 50}, -1, true); got != 0 {
		t.Errorf("a goal that no load keeps has room %v", got)
	}
	if got := Factor(Load{Used: 0.9, Own: 0.1, RestMS: 200}, 300, false); got != 0 {
		t.Errorf("a route among others' overload has room %v", got)
	}
	if got := Factor(Load{}, 300, true); got != most {
		t.Errorf("no load has room %v", got)
	}
}

func seen(standings ...string) Seen {
	pace := Pace{StartMS: 40, UnitMS: 0.01}
	made := Seen{Seconds: 10, Spec: &config.Config{
		Services: []config.Service{{Name: "s", Engine: &config.Engine{}}, {Name: "plain"}},
		Routes: []config.Route{
			{Name: "long", Service: "s", LatencyTargetMS: 800}, {Name: "short", Service: "s", LatencyTargetMS: 1000, HomeRegions: []ids.Region{"r0"}},
		},
	}}
	made.Readings = []Reading{reads("long", 200, 12000, pace), reads("short", 400, 2000, pace)}
	for index, standing := range standings {
		region := ids.Region("r0")
		if index >= 2 {
			region = "r1"
		}
		made.Runners = append(made.Runners, Runner{ID: ids.RunnerID(rune('a' + index)), Service: "s", Region: region, Standing: standing, UnitsPerS: 20000})
	}
	return made
}

func room(t *testing.T, given Seen) Family {
	t.Helper()
	report := Estimate(given)
	if len(report.Families) != 2 || !report.Families[0].Enough || len(report.Families[0].Routes) != 2 {
		t.Fatalf("%+v", report)
	}
	return report.Families[0]
}

// TestEveryRunnerCountsAsItStands compares fleets of four: one that is whole,
// one with a quiet region whose work the other does, and one whose region
// stands ready no more.
func TestEveryRunnerCountsAsItStands(t *testing.T) {
	whole := room(t, seen(Ready, Ready, Ready, Ready))
	quiet := seen(Ready, Ready, Ready, Ready)
	quiet.Runners[0].UnitsPerS, quiet.Runners[1].UnitsPerS = 40000, 40000
	quiet.Runners[2].UnitsPerS, quiet.Runners[3].UnitsPerS = 0, 0
	absorbed := room(t, quiet)
	if math.Abs(whole.Routes[0].Together-absorbed.Routes[0].Together) > 0.01 {
		t.Errorf("a quiet region's runners count for less: %v, %v", whole.Routes[0].Together, absorbed.Routes[0].Together)
	}
	if absorbed.Routes[1].Together > 0.7*whole.Routes[1].Together {
		t.Errorf("runners away from home count for a route that can't use them: %v", absorbed.Routes[1])
	}
	if region := absorbed.Regions[1]; region.Ready != 2 || region.Used != 0 {
		t.Errorf("the quiet region is not told: %+v", region)
	}
	for _, standing := range []string{"draining", "emptied", "resting", "cold"} {
		lost := room(t, seen(Ready, Ready, standing, standing))
		if lost.Routes[0].Together > 0.6*whole.Routes[0].Together || lost.Regions[1].Other != 2 {
			t.Errorf("%s runners count: %v of %v", standing, lost.Routes[0].Together, whole.Routes[0].Together)
		}
	}
	if gone := room(t, seen("draining", "draining", Ready, Ready)); gone.Routes[1].Together > 1 {
		t.Errorf("a route without a runner at home has room %v", gone.Routes[1].Together)
	}
}

func TestNothingSeenIsSaidSo(t *testing.T) {
	given := seen(Ready)
	given.Readings = nil
	family := Estimate(given).Families[0]
	if family.Enough || len(family.Routes) != 0 || family.Together != 0 {
		t.Fatalf("%+v", family)
	}
}
