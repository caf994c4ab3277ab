package autoscaler

import (
	"slices"
	"strings"

	"onyxwell/base/ids"
)

// regionCapacity is the capacity of the ready runners of a service in one region, in
// requests per second.
type regionCapacity struct {
	runners   []RunnerPlan
	rateLimit float64
	// remaining is the part of rateLimit that is not allocated to flows yet. It can
	// become negative.
	remaining float64
	// saturated is true if any runner has reached its limit. Otherwise rateLimit is
	// only a lower bound, and does not limit the region's own demand.
	saturated bool
}

func (r *regionCapacity) add(planned RunnerPlan, capacity Capacity) {
	r.runners = append(r.runners, planned)
	r.rateLimit += capacity.RateLimit
	r.remaining += capacity.RateLimit
	r.saturated = r.saturated || capacity.Saturated
}

const (
	// minSpillDivisor is the divisor of a region's rate limit that gives the lower
	// bound of its remaining capacity in spillWeight.
	minSpillDivisor = 20
	// minSpillWeight keeps spill weights positive.
	minSpillWeight = 1e-6
)

// spillWeight returns the weight by which the region takes excess demand of other
// regions.
func (r *regionCapacity) spillWeight() float64 {
	return max(r.remaining, r.rateLimit/minSpillDivisor, minSpillWeight)
}

// allocateFlows distributes the demand for a service. The demand of each origin goes
// to its own region up to the rate limit there, and the excess to other regions in
// proportion to their remaining capacities. It updates the remaining capacities.
func allocateFlows(demands map[demandKey]*demandRate, service ids.Service, regions map[ids.Region]*regionCapacity) []Flow {
	var keys []demandKey
	for key := range demands {
		if key.service == service && demands[key].perS > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(left, right demandKey) int {
		return strings.Compare(left.homeRegions+string(left.origin), right.homeRegions+string(right.origin))
	})
	local := map[demandKey]float64{}
	for _, key := range keys {
		own := regions[key.origin]
		if own == nil || !isHomeRegion(key.homeRegions, key.origin) {
			continue
		}
		local[key] = demands[key].perS
		if own.saturated {
			local[key] = min(local[key], max(0, own.remaining))
		}
		own.remaining -= local[key]
	}
	var flows []Flow
	for _, key := range keys {
		demand := demands[key].perS
		if local[key] > 0 {
			flows = append(flows, newFlow(key, key.origin, local[key]/demand))
		}
		flows = append(flows, spillover(key, demand, demand-local[key], regions)...)
	}
	return flows
}

// spillover distributes the excess of an origin's demand over the other regions.
func spillover(key demandKey, demand float64, excess float64, regions map[ids.Region]*regionCapacity) []Flow {
	if excess <= 0 {
		return nil
	}
	var targets []ids.Region
	total := 0.0
	for region, capacity := range regions {
		if region != key.origin && isHomeRegion(key.homeRegions, region) {
			targets = append(targets, region)
			total += capacity.spillWeight()
		}
	}
	slices.Sort(targets)
	var flows []Flow
	for _, region := range targets {
		flows = append(flows, newFlow(key, region, excess/demand*regions[region].spillWeight()/total))
	}
	return flows
}

func newFlow(key demandKey, target ids.Region, share float64) Flow {
	return Flow{Service: key.service, HomeRegions: key.homeRegions, Origin: key.origin, Target: target, Share: share}
}

// isHomeRegion reports whether a region is in a list of home regions, in the format of
// Demand.HomeRegions. An empty list contains all regions.
func isHomeRegion(homeRegions string, region ids.Region) bool {
	return homeRegions == "" || strings.Contains(","+homeRegions, ","+string(region)+",")
}
