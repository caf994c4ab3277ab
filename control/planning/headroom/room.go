// Package headroom tells how much more load each model family can bear before its
// requests run late: for each route alone, and for all of its routes together.
package headroom

import (
	"math"

	"onyxwell/base/ids"
)

// Key is the news key of the newest estimate.
const Key = "room"

// Reading sums what routers saw of one route's first answers. Units are prompt
// tokens, or one a request where a route has none.
type Reading struct {
	Service      ids.Service `avro:"Service"`
	Route        string      `avro:"Route"`
	Count        float64     `avro:"Count"`
	Units        float64     `avro:"Units"`
	UnitsSquared float64     `avro:"UnitsSquared"`
	FirstMS      float64     `avro:"FirstMS"`
	// Crossed is the sum of units times first answer, for the fit.
	Crossed float64 `avro:"Crossed"`
}

// SchemaName names the stored and sent form; it must never change.
func (Reading) SchemaName() string { return "Reading_21" }

// Plus joins two sums.
func (r Reading) Plus(other Reading) Reading {
	other.Count += r.Count
	other.Units += r.Units
	other.UnitsSquared += r.UnitsSquared
	other.FirstMS += r.FirstMS
	other.Crossed += r.Crossed
	return other
}

// Scaled gives a part of the sums; older looks are forgotten this way.
func (r Reading) Scaled(part float64) Reading {
	r.Count *= part
	r.Units *= part
	r.UnitsSquared *= part
	r.FirstMS *= part
	r.Crossed *= part
	return r
}

// Pace is how a runner of a family reads: a first answer takes StartMS and
// UnitMS for each unit ahead of it.
type Pace struct {
	StartMS float64
	UnitMS  float64
}

// FitPace draws the least squares line of first answer on units. All routes of
// a family share it, since they share its runners.
func FitPace(readings []Reading) (Pace, bool) {
	total := Reading{}
	for _, reading := range readings {
		total = total.Plus(reading)
	}
	if total.Count < fewest {
		return Pace{}, false
	}
	spread := total.UnitsSquared - total.Units*total.Units/total.Count
	if spread <= 1e-9*total.UnitsSquared {
		return Pace{}, false
	}
	slope := (total.Crossed - total.Units*total.FirstMS/total.Count) / spread
	if slope <= 0 {
		return Pace{}, false
	}
	return Pace{StartMS: math.Max(0, (total.FirstMS-slope*total.Units)/total.Count), UnitMS: slope}, true
}

const (
	// fewest is how many answers an estimate must rest on.
	fewest = 30
	// lateShare is the share of requests that may run late.
	lateShare = 0.05
	// most is where the search for a factor ends: no estimate reaches so far.
	most = 64.0
)

// Load is what a pool of runners bears now, in shares of what they can do.
type Load struct {
	// Used is the utilisation of the pool; Own the part of it that the route
	// brings. Both are of the runners that stand ready.
	Used float64
	Own  float64
	// RestMS is the mean time that is left of the work in hand when another
	// request arrives.
	RestMS float64
}

// Factor tells how many times the route's own load (or, together, all load) may
// grow while the share of requests whose wait is over the spare time stays
// small. It is below 1 where the goal is missed already, and 0 where no load at
// all would keep it.
func Factor(load Load, spareMS float64, together bool) float64 {
	growing := load.Own
	if together {
		growing = load.Used
	}
	limit := highest(load.RestMS, spareMS)
	if growing <= 0 {
		return most
	}
	factor := (limit - (load.Used - growing)) / growing
	return math.Min(most, math.Max(0, factor))
}

// highest is the utilisation at which the wait stays under the spare time but
// for the share that may run late. The wait of a queue that is busy for a part
// of the time falls off like an exponential: P(W > t) ≈ u·exp(-t(1-u)/rest).
func highest(restMS float64, spareMS float64) float64 {
	if spareMS <= 0 {
		return 0
	}
	low, high := 0.0, 0.995
	for range 40 {
		middle := (low + high) / 2
		if middle*math.Exp(-spareMS*(1-middle)/math.Max(restMS, 1e-6)) > lateShare {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}
