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
	load  float64
	group lengthstats.Class
}

// choose picks the runner for the next sending. Where none is open now but one
// soon will be, it tells how long that takes.
func (g *Gate) choose(decision *Decision, now clock.Instant) (*snapshot.Runner, clock.Span) {
	seen := g.options.Frame.Now()
	if seen.Spec == nil {
		return nil, 0
	}
	service := seen.Spec.Service(decision.service)
	found, soon := g.candidates(seen, service, decision, now)
	if len(found) == 0 {
		return nil, soon
	}
	if found = g.timely(decision.asking.Route, found, now); len(found) == 0 {
		decision.crowded = true
		return nil, 0
	}
	key, shared := affinity(decision.asking.Parts)
	shared = shared && decision.asking.Route.Sticky
	if !shared || !travels(decision.asking) {
		found = g.region(seen, decision, found)
	}
	found = g.group(seen, decision, found)
	if shared {
		return keyed(decision, found, key).runner, 0
	}
	return g.lighterOfTwo(found).runner, 0
}

// shortWait is how long a request waits before it asks again.
const shortWait = 20 * clock.Millisecond

// candidates are the runners that are listed, at home, open, awake and within
// what cold ones may get.
func (g *Gate) candidates(seen *snapshot.Snapshot, service *config.Service, decision *Decision, now clock.Instant) ([]candidate, clock.Span) {
	var found, resting []candidate
	soon := clock.Span(0)
	route := decision.asking.Route
	share := g.connections(service)
	patience := max(route.LatencyTarget()/2, 50*clock.Millisecond)
	decision.left = LeftOut{}
	for _, runner := range seen.Runners[decision.service] {
		if decision.tried[runner.ID] {
			decision.left.Tried++
			continue
		}
		if !seen.Open(runner) {
			decision.left.Closed++
			continue
		}
		if !route.AllowsRegion(runner.Region) {
			decision.left.Away++
			continue
		}
		ledger := g.options.Board.Look(runner.ID)
		if ledger.Doubted || g.options.Board.Silence(runner.ID, now) > patience {
			// Its test may be over in a moment.
			decision.left.Silent++
			soon = shortWait
			continue
		}
		if ledger.Running >= share {
			decision.left.Full++
			continue
		}
		if !g.options.Warmth.Open(runner.ID, g.bound(service, runner.Zone), now) {
			decision.left.Cold++
			soon = shortWait
			continue
		}
		slots := math.Max(1, float64(runner.Capacity))
		told := ledger.Load.Running + ledger.Load.Waiting
		able := candidate{runner: runner, weight: seen.Weight(runner), load: math.Max(told+ledger.Load.Sent, ledger.Running) / slots, group: seen.Planned[runner.ID].Group}
		if seen.Rests(runner.ID, now) || g.lost(runner.Zone) {
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

// connections is this router's part of the connections that a runner accepts.
func (g *Gate) connections(service *config.Service) float64 {
	if service == nil || service.MaxConnections <= 0 {
		return math.Inf(1)
	}
	return math.Max(1, float64(service.MaxConnections)/float64(max(1, g.options.Routers())))
}

const (
	// fewestWaiting is how many must wait at a runner before their wait counts.
	fewestWaiting = 2
	// timelyPart is the part of the goal that others may have waited already.
	timelyPart = 0.6
)

// timely leaves out the runners at which requests of the same urgency have
// waited so long that another would miss its goal. Where that is all of them,
// what is let in would only make everybody late.
func (g *Gate) timely(route *config.Route, found []candidate, now clock.Instant) []candidate {
	if route.LatencyTargetMS <= 0 {
		return found
	}
	limit := clock.Span(timelyPart * float64(route.LatencyTarget()))
	kept := found[:0:0]
	for _, able := range found {
		if count, oldest := g.options.Board.Queue(able.runner.ID, route.Priority, now); count < fewestWaiting || oldest <= limit {
			kept = append(kept, able)
		}
	}
	return kept
}

// region narrows the choice to one region: by the plan's shares, or the own
// region first, as long as the runners there are not the fuller ones by far.
func (g *Gate) region(seen *snapshot.Snapshot, decision *Decision, found []candidate) []candidate {
	regions := map[ids.Region][]candidate{}
	for _, able := range found {
		regions[able.runner.Region] = append(regions[able.runner.Region], able)
	}
	if len(regions) == 1 {
		return found
	}
	homes := homesKey(decision.asking.Route)
	total := 0.0
	shares := map[ids.Region]float64{}
	for _, flow := range seen.Flows {
		if flow.Service == decision.service && flow.HomeRegions == homes && flow.Origin == g.options.Region && regions[flow.Target] != nil {
			shares[flow.Target] += flow.Share
			total += flow.Share
		}
	}
	aim := g.options.Chance() * total
	for _, flow := range seen.Flows {
		if share := shares[flow.Target]; share > 0 && flow.Service == decision.service && flow.HomeRegions == homes && flow.Origin == g.options.Region {
			if aim -= share; aim < 0 {
				return regions[flow.Target]
			}
		}
	}
	if own := regions[g.options.Region]; own != nil {
		return own
	}
	return found
}

// lighterOfTwo draws two by weight and takes the one with less load.
func (g *Gate) lighterOfTwo(found []candidate) candidate {
	first, second := g.draw(found), g.draw(found)
	if second.load < first.load {
		return second
	}
	return first
}

func (g *Gate) draw(found []candidate) candidate {
	total := 0.0
	for _, able := range found {
		total += able.weight
	}
	aim := g.options.Chance() * total
	for _, able := range found {
		if aim -= able.weight; aim < 0 {
			return able
		}
	}
	return found[len(found)-1]
}
