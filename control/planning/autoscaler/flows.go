package autoscaler

import (
	"slices"
	"strings"

	"onyxwell/base/ids"
)

// regionCapacity is what the ready runners of a region can finish a second. A region
// whose runners never reached their limit has no known end.
type regionCapacity struct {
	rateLimit float64
	remaining float64
	saturated bool
}

// allocateFlows splits an origin's demand: its own region first, up to what that can
// bear; the rest by what the other regions have left.
func allocateFlows(demands map[demandKey]*demandRate, service ids.Service, supplies map[ids.Region]*regionCapacity) []Flow {
	var keys []demandKey
	for key := range demands {
		if key.service == service && demands[key].perS > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(left, right demandKey) int {
		return strings.Compare(left.homeRegions+string(left.origin), right.homeRegions+string(right.origin))
	})
	taken := map[demandKey]float64{}
	for _, key := range keys {
		own := supplies[key.origin]
		if own == nil || !isHomeRegion(key.homeRegions, key.origin) {
			continue
		}
		taken[key] = demands[key].perS
		if own.saturated {
			taken[key] = min(taken[key], max(0, own.remaining))
		}
		own.remaining -= taken[key]
	}
	var flows []Flow
	for _, key := range keys {
		wanted := demands[key].perS
		if taken[key] > 0 {
			flows = append(flows, newFlow(key, key.origin, taken[key]/wanted))
		}
		flows = append(flows, spillover(key, wanted, wanted-taken[key], supplies)...)
	}
	return flows
}

// spillover shares what the own region can't bear out among the others.
func spillover(key demandKey, wanted float64, rest float64, supplies map[ids.Region]*regionCapacity) []Flow {
	if rest <= 0 {
		return nil
	}
	var targets []ids.Region
	total := 0.0
	for region, other := range supplies {
		if region != key.origin && isHomeRegion(key.homeRegions, region) {
			targets = append(targets, region)
			total += other.weight()
		}
	}
	slices.Sort(targets)
	var flows []Flow
	for _, region := range targets {
		flows = append(flows, newFlow(key, region, rest/wanted*supplies[region].weight()/total))
	}
	return flows
}

// weight is what a region has to give: what is left of its ceilings, and never
// nothing.
func (r *regionCapacity) weight() float64 { return max(r.remaining, r.rateLimit/20, 1e-6) }

func newFlow(key demandKey, target ids.Region, part float64) Flow {
	return Flow{Service: key.service, HomeRegions: key.homeRegions, Origin: key.origin, Target: target, Share: part}
}

func isHomeRegion(homes string, region ids.Region) bool {
	return homes == "" || strings.Contains(","+homes, ","+string(region)+",")
}
