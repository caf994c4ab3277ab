package autoscaler

import (
	"slices"
	"strings"

	"onyxwell/base/ids"
)

// supply is what the ready runners of a region can finish a second. A region
// whose runners never reached their limit has no known end.
type supply struct {
	limit   float64
	left    float64
	reached bool
}

// share splits an origin's demand: its own region first, up to what that can
// bear; the rest by what the other regions have left.
func share(demands map[demandKey]*rate, service ids.Service, supplies map[ids.Region]*supply) []Flow {
	var keys []demandKey
	for key := range demands {
		if key.service == service && demands[key].perS > 0 {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(left, right demandKey) int {
		return strings.Compare(left.homes+string(left.origin), right.homes+string(right.origin))
	})
	taken := map[demandKey]float64{}
	for _, key := range keys {
		own := supplies[key.origin]
		if own == nil || !allowed(key.homes, key.origin) {
			continue
		}
		taken[key] = demands[key].perS
		if own.reached {
			taken[key] = min(taken[key], max(0, own.left))
		}
		own.left -= taken[key]
	}
	var flows []Flow
	for _, key := range keys {
		wanted := demands[key].perS
		if taken[key] > 0 {
			flows = append(flows, flow(key, key.origin, taken[key]/wanted))
		}
		flows = append(flows, spill(key, wanted, wanted-taken[key], supplies)...)
	}
	return flows
}

// spill shares what the own region can't bear out among the others.
func spill(key demandKey, wanted float64, rest float64, supplies map[ids.Region]*supply) []Flow {
	if rest <= 0 {
		return nil
	}
	var targets []ids.Region
	total := 0.0
	for region, other := range supplies {
		if region != key.origin && allowed(key.homes, region) {
			targets = append(targets, region)
			total += other.weight()
		}
	}
	slices.Sort(targets)
	var flows []Flow
	for _, region := range targets {
		flows = append(flows, flow(key, region, rest/wanted*supplies[region].weight()/total))
	}
	return flows
}

// weight is what a region has to give: what is left of its ceilings, and never
// nothing.
func (s *supply) weight() float64 { return max(s.left, s.limit/20, 1e-6) }

func flow(key demandKey, target ids.Region, part float64) Flow {
	return Flow{Service: key.service, Homes: key.homes, Origin: key.origin, Target: target, Share: part}
}

func allowed(homes string, region ids.Region) bool {
	return homes == "" || strings.Contains(","+homes, ","+string(region)+",")
}
