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
	FirstTokenMS float64     `avro:"FirstMS"`
	// UnitsFirstTokenMS is the sum of units times first answer, for the fit.
	UnitsFirstTokenMS float64 `avro:"Crossed"`
}

// SchemaName names the stored and sent form; it must never change.
func (Reading) SchemaName() string { return "Reading_21" }

// Add joins two sums.
func (r Reading) Add(other Reading) Reading {
	other.Count += r.Count
	other.Units += r.Units
	other.UnitsSquared += r.UnitsSquared
	other.FirstTokenMS += r.FirstTokenMS
	other.UnitsFirstTokenMS += r.UnitsFirstTokenMS
	return other
}

// Scale gives a part of the sums; older looks are forgotten this way.
func (r Reading) Scale(part float64) Reading {
	r.Count *= part
	r.Units *= part
	r.UnitsSquared *= part
	r.FirstTokenMS *= part
	r.UnitsFirstTokenMS *= part
	return r
}

// LatencyModel is how a runner of a family reads: a first answer takes BaseMS and
// PerUnitMS for each unit ahead of it.
type LatencyModel struct {
	BaseMS    float64
	PerUnitMS float64
}

// FitLatencyModel draws the least squares line of first answer on units. All routes of
// a family share it, since they share its runners.
func FitLatencyModel(readings []Reading) (LatencyModel, bool) {
	total := Reading{}
	for _, reading := range readings {
		total = total.Add(reading)
	}
	if total.Count < minCount {
		return LatencyModel{}, false
	}
	spread := total.UnitsSquared - total.Units*total.Units/total.Count
	if spread <= 1e-9*total.UnitsSquared {
		return LatencyModel{}, false
	}
	slope := (total.UnitsFirstTokenMS - total.Units*total.FirstTokenMS/total.Count) / spread
	if slope <= 0 {
		return LatencyModel{}, false
	}
	return LatencyModel{BaseMS: math.Max(0, (total.FirstTokenMS-slope*total.Units)/total.Count), PerUnitMS: slope}, true
}

const (
	// minCount is how many answers an estimate must rest on.
	minCount = 30
	// maxLateFraction is the share of requests that may run late.
	maxLateFraction = 0.05
	// growthCap is where the search for a factor ends: no estimate reaches so far.
	growthCap = 64.0
)

// Load is what a pool of runners bears now, in shares of what they can do.
type Load struct {
	// Utilization is the utilisation of the pool; Own the part of it that the route
	// brings. Both are of the runners that stand ready.
	Utilization      float64
	RouteUtilization float64
	// ResidualMS is the mean time that is left of the work in hand when another
	// request arrives.
	ResidualMS float64
}

// MaxGrowth tells how many times the route's own load (or, together, all load) may
// grow while the share of requests whose wait is over the spare time stays
// small. It is below 1 where the goal is missed already, and 0 where no load at
// all would keep it.
func MaxGrowth(load Load, spareMS float64, together bool) float64 {
	growing := load.RouteUtilization
	if together {
		growing = load.Utilization
	}
	limit := maxUtilization(load.ResidualMS, spareMS)
	if growing <= 0 {
		return growthCap
	}
	factor := (limit - (load.Utilization - growing)) / growing
	return math.Min(growthCap, math.Max(0, factor))
}

// maxUtilization is the utilisation at which the wait stays under the spare time but
// for the share that may run late. The wait of a queue that is busy for a part
// of the time falls off like an exponential: P(W > t) ≈ u·exp(-t(1-u)/rest).
func maxUtilization(restMS float64, spareMS float64) float64 {
	if spareMS <= 0 {
		return 0
	}
	low, high := 0.0, 0.995
	for range 40 {
		middle := (low + high) / 2
		if middle*math.Exp(-spareMS*(1-middle)/math.Max(restMS, 1e-6)) > maxLateFraction {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}
