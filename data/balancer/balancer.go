// Package balancer decides what becomes of a request: which runner it is sent to,
// whether it waits, and with which error it ends. It sends nothing itself: the
// proxy asks an Admission for the next Decision, carries it out and reports the
// outcome.
//
// Invariants:
//
//   - A request that may have been executed is sent again only if its route is
//     idempotent, and is never answered as if nothing had been executed.
//   - A further attempt of a request that has reached a runner is paid for from
//     the retry budget.
//   - A request is not sent again to a runner that it was sent to before.
package balancer

import (
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/data/canary"
	"onyxwell/data/retrybudget"
	"onyxwell/data/runnerstats"
	"onyxwell/data/slowstart"
	"onyxwell/data/snapshot"
)

// Options configure a Balancer. All but ZoneLost are needed.
type Options struct {
	Clock       clock.Clock
	Snapshots   *snapshot.Store
	Stats       *runnerstats.Collector
	RetryBudget *retrybudget.Budget
	SlowStart   *slowstart.Tracker
	// Region is where this router runs.
	Region ids.Region
	// SlowStartRouters returns among how many routers the rate of a runner in slow
	// start in a zone is shared; 0 where this router must not send to it.
	SlowStartRouters func(zone ids.Zone) int
	// RouterCount returns how many routers there may be, at most.
	RouterCount func() int
	// ZoneLost reports whether a zone seems to be lost: its runners are used only
	// where there are no others. It may be nil.
	ZoneLost func(zone ids.Zone) bool
	// Versions decides between versions of a service; nil allows all.
	Versions *canary.Gate
	// Random returns a number in [0, 1).
	Random func() float64
}

// Balancer selects runners. It is safe for concurrent use.
type Balancer struct {
	options  Options
	clock    clock.Clock
	prefixes prefixTracker
}

// New returns a balancer.
func New(options Options) *Balancer {
	return &Balancer{options: options, clock: options.Clock}
}

// Admit begins the admission of a request: it picks its service and counts it as
// demand and towards the retry budget.
func (b *Balancer) Admit(req Request) *Admission {
	a := &Admission{balancer: b, request: req, tried: map[ids.RunnerID]bool{}}
	a.service = b.pickService(req.Route)
	a.arm = b.options.Versions.Assign(a.service, req.Route.Name)
	a.rarePrefix = b.hasRarePrefix(req)
	b.options.Stats.AddDemand(a.service, req.homeRegionsKey())
	b.options.RetryBudget.AddRequest(a.service, b.clock.Now())
	return a
}

// pickService draws one of the route's services by their weights.
func (b *Balancer) pickService(route *config.Route) ids.Service {
	return drawWeighted(b, route.WeightedServices(), func(weighted config.WeightedService) float64 { return weighted.Weight }).Service
}

// drawWeighted draws an item with a probability in proportion to its weight; the
// last one where no weight is positive.
func drawWeighted[T any](b *Balancer, items []T, weight func(T) float64) T {
	total := 0.0
	for _, item := range items {
		total += weight(item)
	}
	remaining := b.options.Random() * total
	for _, item := range items {
		if remaining -= weight(item); remaining < 0 {
			return item
		}
	}
	return items[len(items)-1]
}

func (b *Balancer) zoneLost(zone ids.Zone) bool {
	return b.options.ZoneLost != nil && b.options.ZoneLost(zone)
}

// slowStartLimit returns the limit of a service's runners in slow start in a zone.
func (b *Balancer) slowStartLimit(service *config.Service, zone ids.Zone) slowstart.Limit {
	if service == nil {
		return slowstart.Limit{}
	}
	return slowstart.Limit{RequestsPerSecond: service.WarmupRatePerSecond, Routers: b.options.SlowStartRouters(zone)}
}
