package autoscaler

import (
	"slices"
	"strings"

	"onyxwell/base/ids"
)

// regionCapacity is what the ready runners of a service in one region can finish
// a second.
type regionCapacity struct {
	runners   []RunnerPlan
	rateLimit float64
	// remaining is what is left of rateLimit while flows are allocated; it may
	// fall below 0.
	remaining float64
	// saturated is true if a runner has reached its limit. Else rateLimit is a
	// lower bound, and does not limit the region's own demand.
	saturated bool
}

func (r *regionCapacity) add(planned RunnerPlan, capacity Capacity) {
	r.runners = append(r.runners, planned)
	r.rateLimit += capacity.RateLimit
	r.remaining += capacity.RateLimit
	r.saturated = r.saturated || capacity.Saturated
}

const (
	// minSpillDivisor: one part in so many of a region's rate limit counts as
	// remaining at the least.
	minSpillDivisor = 20
	// minSpillWeight keeps weights above 0.
	minSpillWeight = 1e-6
)

// spillWeight returns the region's weight for demand of other regions.
func (r *regionCapacity) spillWeight() float64 {
	return max(r.remaining, r.rateLimit/minSpillDivisor, minSpillWeight)
}

// allocateFlows splits the demand for a service: each origin's goes to its own
// region up to the limit there, the excess to other regions in proportion to
// what they have left. It changes the remaining capacities.
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

// spillover splits the excess of an origin's demand among the other regions.
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

// isHomeRegion reports whether a region is in the list of home regions, each
// followed by a comma; an empty list holds all regions.
func isHomeRegion(homeRegions string, region ids.Region) bool {
	return homeRegions == "" || strings.Contains(","+homeRegions, ","+string(region)+",")
}
