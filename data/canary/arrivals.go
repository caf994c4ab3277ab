package canary

import (
	"onyxwell/base/ids"
	"onyxwell/control/rollout"
)

const (
	// minArrivals is the number of requests of a service that a router must have counted to
	// know which routes are rare.
	minArrivals = 5
	// maxArrivals is the total at which all counts of a service are halved.
	maxArrivals = 1000
)

// arrivals counts the requests of a service by route. Halving the counts from time to time
// gives recent requests more weight.
type arrivals struct {
	byRoute map[string]int64
	total   int64
}

// countArrival counts a request and returns the counts of its service. The caller holds g.mu.
func (g *Gate) countArrival(service ids.Service, route string) *arrivals {
	recent := g.arrivals[service]
	if recent == nil {
		recent = &arrivals{byRoute: map[string]int64{}}
		g.arrivals[service] = recent
	}
	recent.byRoute[route]++
	recent.total++
	if recent.total >= maxArrivals {
		recent.halve()
	}
	return recent
}

func (a *arrivals) halve() {
	a.total = 0
	for route, count := range a.byRoute {
		if count /= 2; count == 0 {
			delete(a.byRoute, route)
			continue
		}
		a.byRoute[route] = count
		a.total += count
	}
}

// oversampling returns the ratio of the share of a route's requests that go to the target
// version under a permit to the share of all requests. Rare routes are oversampled so that the
// canary gets requests of every route.
func (a *arrivals) oversampling(route string, permit rollout.Permit) float64 {
	if a.total < minArrivals {
		return 1
	}
	share := float64(a.byRoute[route]) / float64(a.total)
	return rollout.OversamplingFactor(share, len(a.byRoute), float64(permit.RunnersMilli)/milliPerUnit)
}
