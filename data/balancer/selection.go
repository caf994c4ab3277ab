package balancer

import (
	"math"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/data/snapshot"
)

// candidate is a runner that could take the request.
type candidate struct {
	runner *snapshot.Runner
	weight float64
	// load is how many requests it has for each that it can run at once.
	load        float64
	lengthClass lengthstats.Class
}

// selectRunner picks the runner for the next sending. Where none is open now but one
// soon will be, it tells how long that takes.
func (b *Balancer) selectRunner(decision *Admission, now clock.Instant) (*snapshot.Runner, clock.Span) {
	seen := b.options.Snapshots.Current()
	if seen.Config == nil {
		return nil, 0
	}
	service := seen.Config.Service(decision.service)
	found, soon := b.candidates(seen, service, decision, now)
	if len(found) == 0 {
		return nil, soon
	}
	if found = b.filterTimely(decision.request.Route, found, now); len(found) == 0 {
		decision.overloaded = true
		return nil, 0
	}
	key, shared := affinityKey(decision.request.PromptParts)
	shared = shared && decision.request.Route.Sticky
	if !shared || !worthCrossRegion(decision.request) {
		found = b.filterRegion(seen, decision, found)
	}
	found = b.filterLengthClass(seen, decision, found)
	if shared {
		return pickByAffinity(decision, found, key).runner, 0
	}
	return b.pickTwoChoices(found).runner, 0
}

// recheckDelay is how long a request waits before it asks again.
const recheckDelay = 20 * clock.Millisecond

// candidates are the runners that are listed, at home, open, awake and within
// what cold ones may get.
func (b *Balancer) candidates(seen *snapshot.Snapshot, service *config.Service, decision *Admission, now clock.Instant) ([]candidate, clock.Span) {
	var found, resting []candidate
	soon := clock.Span(0)
	route := decision.request.Route
	share := b.connectionShare(service)
	patience := max(route.LatencyTarget()/2, 50*clock.Millisecond)
	decision.exclusions = Exclusions{}
	for _, runner := range seen.Runners[decision.service] {
		if decision.tried[runner.ID] {
			decision.exclusions.Tried++
			continue
		}
		if !seen.Available(runner) {
			decision.exclusions.Draining++
			continue
		}
		if !route.AllowsRegion(runner.Region) {
			decision.exclusions.OutsideHomes++
			continue
		}
		ledger := b.options.Stats.State(runner.ID)
		if ledger.Suspect || b.options.Stats.SilentFor(runner.ID, now) > patience {
			// Its test may be over in a moment.
			decision.exclusions.Unresponsive++
			soon = recheckDelay
			continue
		}
		if ledger.InFlight >= share {
			decision.exclusions.AtConnectionLimit++
			continue
		}
		if !b.options.SlowStart.CanAdmit(runner.ID, b.slowStartLimit(service, runner.Zone), now) {
			decision.exclusions.SlowStart++
			soon = recheckDelay
			continue
		}
		slots := math.Max(1, float64(runner.Capacity))
		told := ledger.Load.Running + ledger.Load.Waiting
		able := candidate{runner: runner, weight: seen.Weight(runner), load: math.Max(told+ledger.Load.SentSince, ledger.InFlight) / slots, lengthClass: seen.RunnerWeights[runner.ID].Group}
		if seen.Ejected(runner.ID, now) || b.zoneLost(runner.Zone) {
			resting = append(resting, able)
		} else {
			found = append(found, able)
		}
	}
	if len(found) == 0 {
		found = resting
	}
	return found, soon
}

// connectionShare is this router's part of the connections that a runner accepts.
func (b *Balancer) connectionShare(service *config.Service) float64 {
	if service == nil || service.MaxConnections <= 0 {
		return math.Inf(1)
	}
	return math.Max(1, float64(service.MaxConnections)/float64(max(1, b.options.RouterCount())))
}

const (
	// minQueued is how many must wait at a runner before their wait counts.
	minQueued = 2
	// maxGoalShare is the part of the goal that others may have waited already.
	maxGoalShare = 0.6
)

// filterTimely leaves out the runners at which requests of the same urgency have
// waited so long that another would miss its goal. Where that is all of them,
// what is let in would only make everybody late.
func (b *Balancer) filterTimely(route *config.Route, found []candidate, now clock.Instant) []candidate {
	if route.LatencyTargetMS <= 0 {
		return found
	}
	limit := clock.Span(maxGoalShare * float64(route.LatencyTarget()))
	kept := found[:0:0]
	for _, able := range found {
		if count, oldest := b.options.Stats.QueuedFor(able.runner.ID, route.Priority, now); count < minQueued || oldest <= limit {
			kept = append(kept, able)
		}
	}
	return kept
}

// filterRegion narrows the choice to one region: by the plan's shares, or the own
// region first, as long as the runners there are not the fuller ones by far.
func (b *Balancer) filterRegion(seen *snapshot.Snapshot, decision *Admission, found []candidate) []candidate {
	regions := map[ids.Region][]candidate{}
	for _, able := range found {
		regions[able.runner.Region] = append(regions[able.runner.Region], able)
	}
	if len(regions) == 1 {
		return found
	}
	homes := homesKey(decision.request.Route)
	total := 0.0
	shares := map[ids.Region]float64{}
	for _, flow := range seen.Flows {
		if flow.Service == decision.service && flow.HomeRegions == homes && flow.Origin == b.options.Region && regions[flow.Target] != nil {
			shares[flow.Target] += flow.Share
			total += flow.Share
		}
	}
	aim := b.options.Random() * total
	for _, flow := range seen.Flows {
		if share := shares[flow.Target]; share > 0 && flow.Service == decision.service && flow.HomeRegions == homes && flow.Origin == b.options.Region {
			if aim -= share; aim < 0 {
				return regions[flow.Target]
			}
		}
	}
	if own := regions[b.options.Region]; own != nil {
		return own
	}
	return found
}

// pickTwoChoices draws two by weight and takes the one with less load.
func (b *Balancer) pickTwoChoices(found []candidate) candidate {
	first, second := b.drawWeighted(found), b.drawWeighted(found)
	if second.load < first.load {
		return second
	}
	return first
}

func (b *Balancer) drawWeighted(found []candidate) candidate {
	total := 0.0
	for _, able := range found {
		total += able.weight
	}
	aim := b.options.Random() * total
	for _, able := range found {
		if aim -= able.weight; aim < 0 {
			return able
		}
	}
	return found[len(found)-1]
}
