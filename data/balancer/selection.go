package balancer

import (
	"math"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/data/canary"
	"onyxwell/data/runnerstats"
	"onyxwell/data/snapshot"
)

const (
	// recheckDelay is after how long a runner that cannot take a request now may do
	// so.
	recheckDelay = 20 * time.Millisecond
	// minSilenceLimit is the least time without a sign of life that excludes a
	// runner; otherwise it is the part of the latency target, one in
	// silenceDivisor.
	minSilenceLimit = 50 * time.Millisecond
	silenceDivisor  = 2
	// minQueued is how many requests must be waiting at a runner before their
	// waiting time counts.
	minQueued = 2
	// maxQueuedShare is the share of the latency target that the oldest of them may
	// have waited.
	maxQueuedShare = 0.6
)

// candidate is a runner that could take the request.
type candidate struct {
	runner *snapshot.Runner
	weight float64
	// load is its requests per slot, those of all routers as far as it reported them.
	load        float64
	lengthClass lengthstats.Class
}

// selectRunner picks the runner for the next attempt. Where there is none now but
// may be one soon, it returns nil and after how long to ask again. It narrows in
// this order: available and not avoided, in time, region, length class; then
// affinity, else the better of two drawn by weight.
func (b *Balancer) selectRunner(admission *Admission, now clock.Instant) (*snapshot.Runner, time.Duration) {
	snap := b.options.Snapshots.Current()
	if snap.Config == nil {
		return nil, 0
	}
	candidates, delay := b.timelyCandidates(snap, admission, now)
	if len(candidates) == 0 {
		return nil, delay
	}
	req := &admission.request
	key, hasAffinity := affinityKey(req.PromptParts)
	hasAffinity = hasAffinity && req.Route.Sticky
	if !hasAffinity || !worthCrossRegion(*req) {
		candidates = b.filterRegion(snap, admission, candidates)
	}
	candidates = b.filterLengthClass(snap, admission, candidates)
	if hasAffinity {
		return pickByAffinity(admission, candidates, key).runner, 0
	}
	return b.pickTwoChoices(candidates).runner, 0
}

// timelyCandidates returns the runners that can take the request now and in time, of the
// request's arm or, where that has none, of the old one. Where there is none it returns after
// how long there may be one, 0 for unknown, and notes whether they are overloaded.
func (b *Balancer) timelyCandidates(snap *snapshot.Snapshot, admission *Admission, now clock.Instant) ([]candidate, time.Duration) {
	filter := b.options.Versions.Filter(snap, admission.service, admission.arm, now)
	admission.arm = filter.Arm
	timely, delay, overloaded := b.timelyOf(snap, admission, filter, now)
	if len(timely) == 0 && filter.CanFallBack {
		admission.arm = canary.Old
		filter = b.options.Versions.Filter(snap, admission.service, admission.arm, now)
		timely, delay, overloaded = b.timelyOf(snap, admission, filter, now)
	}
	if len(timely) == 0 && filter.ExcludesControl() {
		timely, delay, overloaded = b.timelyOf(snap, admission, filter.WithControl(), now)
	}
	if overloaded {
		admission.overloaded = true
		return nil, 0
	}
	return timely, delay
}

// timelyOf returns the runners that a filter allows and that can take the request now and in
// time; overloaded says that there are some that can't in time, and no others.
func (b *Balancer) timelyOf(snap *snapshot.Snapshot, admission *Admission, filter canary.Filter, now clock.Instant) (timely []candidate, delay time.Duration, overloaded bool) {
	candidates, delay := b.candidates(snap, admission, filter, now)
	timely = b.filterTimely(&admission.request, candidates, now)
	return timely, delay, len(timely) == 0 && len(candidates) > 0
}

// candidates returns the runners that can take the request now. Those that are
// ejected or in a lost zone are returned only where there are no others. It
// counts the runners that it leaves out in the admission's exclusions, and
// returns after how long one of them may be a candidate, 0 for none.
func (b *Balancer) candidates(snap *snapshot.Snapshot, admission *Admission, filter canary.Filter, now clock.Instant) ([]candidate, time.Duration) {
	check := readiness{
		balancer: b, service: snap.Config.Service(admission.service), now: now,
		silenceLimit: max(admission.request.Route.LatencyTarget()/silenceDivisor, minSilenceLimit),
	}
	check.connectionShare = b.connectionShare(check.service)
	admission.exclusions = Exclusions{}
	var healthy, unhealthy []candidate
	delay := time.Duration(0)
	for _, runner := range snap.Runners[admission.service] {
		if !filter.Allows(runner) {
			admission.exclusions.OtherVersion++
			continue
		}
		if !admission.eligible(snap, runner) {
			continue
		}
		stats := b.options.Stats.State(runner.ID)
		ready, soon := check.ready(runner, &stats, &admission.exclusions)
		if soon {
			delay = recheckDelay
		}
		if !ready {
			continue
		}
		cand := candidate{
			runner: runner, weight: snap.Weight(runner), load: load(runner, &stats), lengthClass: snap.RunnerWeights[runner.ID].Group,
		}
		if snap.Avoided(runner.ID, now) || b.zoneLost(runner.Zone) {
			unhealthy = append(unhealthy, cand)
		} else {
			healthy = append(healthy, cand)
		}
	}
	if len(healthy) == 0 && !filter.NeedsHealthy() {
		return unhealthy, delay
	}
	return healthy, delay
}

// eligible reports whether the request may go to a runner, whatever its load.
func (a *Admission) eligible(snap *snapshot.Snapshot, runner *snapshot.Runner) bool {
	switch {
	case a.tried[runner.ID]:
		a.exclusions.Tried++
	case !snap.Available(runner):
		a.exclusions.Draining++
	case !a.request.AllowsRegion(runner.Region):
		a.exclusions.OutsideHomes++
	default:
		return true
	}
	return false
}

// readiness checks which runners of a service can take a request now.
type readiness struct {
	balancer *Balancer
	service  *config.Service
	now      clock.Instant
	// silenceLimit is how long a request may wait for a sign of life of its runner.
	silenceLimit time.Duration
	// connectionShare is how many requests this router may have at a runner.
	connectionShare float64
}

// ready reports whether a runner can take a request now; soon says that it may
// after recheckDelay.
func (r *readiness) ready(runner *snapshot.Runner, stats *runnerstats.State, exclusions *Exclusions) (ready, soon bool) {
	options := &r.balancer.options
	if stats.Suspect || options.Stats.SilentFor(runner.ID, r.now) > r.silenceLimit {
		exclusions.Unresponsive++
		return false, true
	}
	if stats.InFlight >= r.connectionShare {
		exclusions.AtConnectionLimit++
		return false, false
	}
	if !options.SlowStart.CanAdmit(runner.ID, r.balancer.slowStartLimit(r.service, runner.Zone), r.now) {
		exclusions.SlowStart++
		return false, true
	}
	return true, false
}

// load returns a runner's requests per slot: what it reported and was sent since,
// or what this router has there, whichever is more.
func load(runner *snapshot.Runner, stats *runnerstats.State) float64 {
	slots := math.Max(1, float64(runner.Capacity))
	reported := stats.Load.Running + stats.Load.Waiting
	return math.Max(reported+stats.Load.SentSince, stats.InFlight) / slots
}

// connectionShare returns this router's share of the connections that a runner
// accepts, at least 1; it is infinite where the service sets no limit.
func (b *Balancer) connectionShare(service *config.Service) float64 {
	if service == nil || service.MaxConnections <= 0 {
		return math.Inf(1)
	}
	return math.Max(1, float64(service.MaxConnections)/float64(max(1, b.options.RouterCount())))
}

// filterTimely leaves out the runners at which requests of the same priority have
// waited so long that another would miss its latency target. Where no runner is
// left, admitting the request would only delay the others.
func (b *Balancer) filterTimely(req *Request, candidates []candidate, now clock.Instant) []candidate {
	route := req.Route
	if route.LatencyTargetMS <= 0 {
		return candidates
	}
	limit := time.Duration(maxQueuedShare * float64(route.LatencyTarget()))
	timely := candidates[:0:0]
	for _, cand := range candidates {
		if count, oldest := b.options.Stats.QueuedFor(cand.runner.ID, req.Priority(), now); count < minQueued || oldest <= limit {
			timely = append(timely, cand)
		}
	}
	return timely
}

// filterRegion narrows the choice to one region: drawn by the shares of the plan's
// flows from this region, or, without a flow, the router's own region if it has
// candidates.
func (b *Balancer) filterRegion(snap *snapshot.Snapshot, admission *Admission, candidates []candidate) []candidate {
	regions := map[ids.Region][]candidate{}
	for _, cand := range candidates {
		regions[cand.runner.Region] = append(regions[cand.runner.Region], cand)
	}
	if len(regions) == 1 {
		return candidates
	}
	homes := admission.request.homesKey()
	applies := func(flow autoscaler.Flow) bool {
		return flow.Service == admission.service && flow.HomeRegions == homes && flow.Origin == b.options.Region
	}
	total := 0.0
	shares := map[ids.Region]float64{}
	for _, flow := range snap.Flows {
		if applies(flow) && regions[flow.Target] != nil {
			shares[flow.Target] += flow.Share
			total += flow.Share
		}
	}
	remaining := b.options.Random() * total
	for _, flow := range snap.Flows {
		if share := shares[flow.Target]; share > 0 && applies(flow) {
			if remaining -= share; remaining < 0 {
				return regions[flow.Target]
			}
		}
	}
	if own := regions[b.options.Region]; own != nil {
		return own
	}
	return candidates
}

// pickTwoChoices draws two candidates by weight and returns the one with less
// load ("power of two choices").
func (b *Balancer) pickTwoChoices(candidates []candidate) candidate {
	weight := func(cand candidate) float64 { return cand.weight }
	first, second := drawWeighted(b, candidates, weight), drawWeighted(b, candidates, weight)
	if second.load < first.load {
		return second
	}
	return first
}
