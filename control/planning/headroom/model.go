// Package headroom estimates by what factor the load of each service may grow
// before its requests miss their latency target: for each route alone, and for all
// routes together.
//
// It fits the time to first token as a linear function of the prompt's length,
// takes from that the utilization of the runners that are ready, and finds the
// utilization at which the tail of the queueing time reaches the target.
// docs/room.md has the alternatives and the rehearsals.
package headroom

import (
	"math"

	"onyxwell/base/ids"
)

// Reading sums the times to first token of one route's requests. Units are prompt
// tokens, or one for a request without any.
type Reading struct {
	Service      ids.Service `avro:"Service"`
	Route        string      `avro:"Route"`
	Count        float64     `avro:"Count"`
	Units        float64     `avro:"Units"`
	UnitsSquared float64     `avro:"UnitsSquared"`
	FirstTokenMS float64     `avro:"FirstMS"`
	// UnitsFirstTokenMS sums the products of units and time to first token.
	UnitsFirstTokenMS float64 `avro:"Crossed"`
}

// SchemaName names the stored and sent form; it must never change.
func (Reading) SchemaName() string { return "Reading_21" }

// Add returns the sum of two readings; it is of the route of other.
func (r Reading) Add(other Reading) Reading {
	other.Count += r.Count
	other.Units += r.Units
	other.UnitsSquared += r.UnitsSquared
	other.FirstTokenMS += r.FirstTokenMS
	other.UnitsFirstTokenMS += r.UnitsFirstTokenMS
	return other
}

// Scale returns the reading with its sums multiplied by a factor, by which it
// decays.
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

// LatencyModel is the time to first token at a runner of a service: BaseMS, and
// PerUnitMS for each unit that the runner has to process before.
type LatencyModel struct {
	BaseMS    float64
	PerUnitMS float64
}

const (
	// minRequests is the number of requests that an estimate needs.
	minRequests = 30
	// minRelativeSpread is the spread of the units, relative to their square, below
	// which all requests count as equally long.
	minRelativeSpread = 1e-9
	// maxLateFraction is the fraction of requests that may miss their target.
	maxLateFraction = 0.05
	// growthCap bounds growth: no estimate holds so far from what was measured.
	growthCap = 64.0
	// maxSearchedUtilization is the highest utilization that is searched, in so many
	// bisections.
	maxSearchedUtilization = 0.995
	bisectionSteps         = 40
	// minResidualMS keeps the residual time, a divisor, above 0.
	minResidualMS = 1e-6
)

// FitLatencyModel fits the least squares line of time to first token on units. It
// takes the readings of all routes of a service, since they share its runners. It
// returns false if there are too few requests, if all are equally long, or if
// longer ones don't take longer.
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

// utilization returns the utilization of runners that process units at a rate.
func (l LatencyModel) utilization(unitsPerS float64, runners float64) float64 {
	if runners == 0 {
		return 0
	}
	return unitsPerS * l.PerUnitMS / 1000 / runners
}

// residualMS returns the mean residual time of the request in service when
// another arrives, E[S²]/2E[S] for a service time S = PerUnitMS·units.
func (l LatencyModel) residualMS(total Reading) float64 {
	if total.Units <= 0 {
		return 0
	}
	return l.PerUnitMS * total.UnitsSquared / total.Units / 2
}

// Load is the load of the ready runners that a route may use.
type Load struct {
	// Utilization is that of the runners; RouteUtilization is the part of it that
	// the route causes.
	Utilization      float64
	RouteUtilization float64
	// ResidualMS is the mean time that is left of the request in service when
	// another arrives.
	ResidualMS float64
}

// MaxRouteGrowth returns by what factor the route's own load may grow while only
// a small fraction of requests queue for longer than spareMS. It is below 1 if
// the target is missed already, and 0 if no load at all would keep it.
func (l Load) MaxRouteGrowth(queueBudgetMS float64) float64 {
	return l.maxGrowth(l.RouteUtilization, queueBudgetMS)
}

// MaxGrowth is MaxRouteGrowth for the load of all routes.
func (l Load) MaxGrowth(queueBudgetMS float64) float64 {
	return l.maxGrowth(l.Utilization, queueBudgetMS)
}

// maxGrowth returns the factor on the growing part of the utilization.
func (l Load) maxGrowth(growing float64, queueBudgetMS float64) float64 {
	if growing <= 0 {
		return growthCap
	}
	growth := (maxUtilization(l.ResidualMS, queueBudgetMS) - (l.Utilization - growing)) / growing
	return math.Min(growthCap, math.Max(0, growth))
}

// maxUtilization returns the utilization u at which all but maxLateFraction of the
// requests queue for less than spareMS. The queueing time W of a server with
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
