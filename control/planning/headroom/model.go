// Package headroom estimates by what factor the load of each service can grow
// before its requests miss their latency target, both for each route alone and for
// all routes together.
//
// It fits the time to first token as a linear function of the prompt length,
// derives the utilization of the ready runners from that fit, and finds the
// utilization at which the tail of the queueing time reaches the target.
// docs/room.md describes the alternatives and the trials.
package headroom

import (
	"math"

	"onyxwell/base/ids"
)

// Reading holds sums over the requests of one route, from which the time to first
// token can be fitted as a function of the work. The work of a request is measured
// in units: its prompt tokens, or 1 if it has none.
type Reading struct {
	Service      ids.Service `avro:"Service"`
	Route        string      `avro:"Route"`
	Count        float64     `avro:"Count"`
	Units        float64     `avro:"Units"`
	UnitsSquared float64     `avro:"UnitsSquared"`
	FirstTokenMS float64     `avro:"FirstMS"`
	// UnitsFirstTokenMS is the sum of the products of units and time to first token.
	UnitsFirstTokenMS float64 `avro:"Crossed"`
}

// SchemaName returns the Avro record name of the encoding, which is stored and sent
// between daemons. It must never change.
func (Reading) SchemaName() string { return "Reading_21" }

// Add returns the sum of two readings. It has the service and the route of other.
func (r Reading) Add(other Reading) Reading {
	other.Count += r.Count
	other.Units += r.Units
	other.UnitsSquared += r.UnitsSquared
	other.FirstTokenMS += r.FirstTokenMS
	other.UnitsFirstTokenMS += r.UnitsFirstTokenMS
	return other
}

// Scale returns the reading with its sums multiplied by a factor. Readings decay by
// being scaled.
func (r Reading) Scale(factor float64) Reading {
	r.Count *= factor
	r.Units *= factor
	r.UnitsSquared *= factor
	r.FirstTokenMS *= factor
	r.UnitsFirstTokenMS *= factor
	return r
}

func sumReadings(readings []Reading) Reading {
	total := Reading{}
	for _, reading := range readings {
		total = total.Add(reading)
	}
	return total
}

// LatencyModel models the time to first token at a runner of a service, without
// queueing: BaseMS, plus PerUnitMS for each unit of work.
type LatencyModel struct {
	BaseMS    float64
	PerUnitMS float64
}

const (
	// minRequests is the minimum number of requests for a fit.
	minRequests = 30
	// minRelativeSpread is the spread of the units around their mean, relative to the
	// sum of their squares, up to which all requests count as equally long.
	minRelativeSpread = 1e-9
	// maxLateFraction is the largest fraction of requests that may miss the target.
	maxLateFraction = 0.05
	// growthCap bounds the estimated growth: no estimate is valid so far from the
	// measured load.
	growthCap = 64.0
	// maxSearchedUtilization is the upper end of the search for a utilization, which
	// takes bisectionSteps steps.
	maxSearchedUtilization = 0.995
	bisectionSteps         = 40
	// minResidualMS prevents a division by a residual time of 0.
	minResidualMS = 1e-6
)

// FitLatencyModel fits the time to first token as a linear function of the units,
// by least squares. It takes the readings of all routes of a service, since they
// share its runners. It returns false if there are too few requests, if all of them
// are equally long, or if longer requests do not take longer.
func FitLatencyModel(readings []Reading) (LatencyModel, bool) {
	total := sumReadings(readings)
	if total.Count < minRequests {
		return LatencyModel{}, false
	}
	spread := total.UnitsSquared - total.Units*total.Units/total.Count
	if spread <= minRelativeSpread*total.UnitsSquared {
		return LatencyModel{}, false
	}
	slope := (total.UnitsFirstTokenMS - total.Units*total.FirstTokenMS/total.Count) / spread
	if slope <= 0 {
		return LatencyModel{}, false
	}
	return LatencyModel{BaseMS: math.Max(0, (total.FirstTokenMS-slope*total.Units)/total.Count), PerUnitMS: slope}, true
}

// utilization returns the utilization of a number of runners that together process
// unitsPerS.
func (l LatencyModel) utilization(unitsPerS float64, runners float64) float64 {
	if runners == 0 {
		return 0
	}
	return unitsPerS * l.PerUnitMS / 1000 / runners
}

// residualMS returns the mean residual service time of the request that is being
// processed when another arrives: E[S²]/2E[S] for a service time S = PerUnitMS·units.
func (l LatencyModel) residualMS(total Reading) float64 {
	if total.Units <= 0 {
		return 0
	}
	return l.PerUnitMS * total.UnitsSquared / total.Units / 2
}

// Load describes the load of the ready runners that a route may use.
type Load struct {
	// Utilization is the utilization of the runners, RouteUtilization the part of it
	// that the route causes.
	Utilization      float64
	RouteUtilization float64
	// ResidualMS is the mean residual service time of the request that is being
	// processed when another arrives.
	ResidualMS float64
}

// MaxRouteGrowth returns the largest factor by which the route's own load can grow
// while at most maxLateFraction of the requests queue for longer than queueBudgetMS.
// It is below 1 if the target is already missed, and 0 if no load of the route is
// low enough to meet it.
func (l Load) MaxRouteGrowth(queueBudgetMS float64) float64 {
	return l.maxGrowth(l.RouteUtilization, queueBudgetMS)
}

// MaxGrowth is like MaxRouteGrowth, but for the load of all routes together.
func (l Load) MaxGrowth(queueBudgetMS float64) float64 {
	return l.maxGrowth(l.Utilization, queueBudgetMS)
}

// maxGrowth returns the largest factor by which the growing part of the utilization
// can grow while the rest stays as it is.
func (l Load) maxGrowth(growing float64, queueBudgetMS float64) float64 {
	if growing <= 0 {
		return growthCap
	}
	growth := (maxUtilization(l.ResidualMS, queueBudgetMS) - (l.Utilization - growing)) / growing
	return math.Min(growthCap, math.Max(0, growth))
}

// maxUtilization returns the utilization u at which all but maxLateFraction of the
// requests queue for less than queueBudgetMS. The queueing time W of a server with
// Poisson arrivals has an exponential tail: P(W > t) ≈ u·exp(-t(1-u)/residual).
func maxUtilization(residualMS float64, queueBudgetMS float64) float64 {
	if queueBudgetMS <= 0 {
		return 0
	}
	low, high := 0.0, maxSearchedUtilization
	for range bisectionSteps {
		middle := (low + high) / 2
		if middle*math.Exp(-queueBudgetMS*(1-middle)/math.Max(residualMS, minResidualMS)) > maxLateFraction {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}
