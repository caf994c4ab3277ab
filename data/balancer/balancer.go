// Package balancer admits requests and selects runners for them. For each request
// it decides whether to send it to a runner, to wait, or to fail with an error. It
// performs no I/O: the proxy asks an Admission for the next Decision, carries it
// out and records the outcome.
//
// Invariants:
//
//   - A request that may have been executed is retried only if its route is
//     idempotent, and its error response never claims that it was not executed.
//   - Once a request has reached a runner, every further attempt consumes retry
//     budget.
//   - A request is never sent to the same runner twice.
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

// Options configures a Balancer. All fields but ZoneLost and Versions are required.
type Options struct {
	Clock       clock.Clock
	Snapshots   *snapshot.Store
	Stats       *runnerstats.Collector
	RetryBudget *retrybudget.Budget
	SlowStart   *slowstart.Tracker
	// Region is the region of this router.
	Region ids.Region
	// SlowStartRouters returns the number of routers that share the rate limit of a
	// runner in slow start in the given zone. It returns 0 if this router must not
	// send to such runners.
	SlowStartRouters func(zone ids.Zone) int
	// RouterCount returns an upper bound on the number of routers.
	RouterCount func() int
	// ZoneLost reports whether a zone is considered lost. Its runners are used only
	// if there are no others. A nil ZoneLost means that no zone is lost.
	ZoneLost func(zone ids.Zone) bool
	// Versions selects service versions during rollouts; nil allows every version.
	Versions *canary.Gate
	// Random returns a number in [0, 1).
	Random func() float64
}

// Balancer admits requests and selects runners. It is safe for concurrent use.
type Balancer struct {
	options  Options
	clock    clock.Clock
	prefixes prefixTracker
}

// New returns a Balancer with the given options.
func New(options Options) *Balancer {
	return &Balancer{options: options, clock: options.Clock}
}

// Admit starts the admission of a request. It picks the service, counts the request
// as demand for it and adds to the service's retry budget.
func (b *Balancer) Admit(req Request) *Admission {
	a := &Admission{balancer: b, request: req, tried: map[ids.RunnerID]bool{}}
	a.service = b.pickService(req.Route)
	a.arm = b.options.Versions.Assign(a.service, req.Route.Name)
	a.rarePrefix = b.hasRarePrefix(req)
	b.options.Stats.AddDemand(a.service, req.homeRegionsKey())
	b.options.RetryBudget.AddRequest(a.service, b.clock.Now())
	return a
}

// pickService picks one of the route's services at random by weight.
func (b *Balancer) pickService(route *config.Route) ids.Service {
	return drawWeighted(b, route.WeightedServices(), func(weighted config.WeightedService) float64 { return weighted.Weight }).Service
}

// drawWeighted picks an item at random with a probability proportional to its
// weight. If no weight is positive, it returns the last item.
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

// slowStartLimit returns the rate limit for a service's runners in slow start in a
// zone.
func (b *Balancer) slowStartLimit(service *config.Service, zone ids.Zone) slowstart.Limit {
	if service == nil {
		return slowstart.Limit{}
	}
	return slowstart.Limit{RequestsPerSecond: service.WarmupRatePerSecond, Routers: b.options.SlowStartRouters(zone)}
}
