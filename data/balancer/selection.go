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
	// recheckDelay is the delay before a runner that is temporarily unable to accept
	// a request is checked again.
	recheckDelay = 20 * time.Millisecond
	// minSilenceLimit and silenceDivisor determine how long a runner with a pending
	// request may give no sign of life before it is excluded: 1/silenceDivisor of the
	// route's latency target, but at least minSilenceLimit.
	minSilenceLimit = 50 * time.Millisecond
	silenceDivisor  = 2
	// minQueued is the minimum number of pending requests of the same priority at a
	// runner for their waiting time to be taken into account.
	minQueued = 2
	// maxQueuedShare is the fraction of the latency target that the oldest of these
	// requests may have waited.
	maxQueuedShare = 0.6
)

// candidate is a runner that can accept the request.
type candidate struct {
	runner *snapshot.Runner
	weight float64
	// load is the number of requests per slot. Requests of other routers are included
	// as far as the runner reported them.
	load        float64
	lengthClass lengthstats.Class
}

// selectRunner selects the runner for the next attempt. If there is none now but may
// be one soon, it returns nil and the delay after which to call it again. It filters
// by availability and health, queueing delay, region and length class, in this order,
// and then picks by prefix affinity or, for requests without affinity, by power of two
// choices. Requests that are worth sending to another region for their cached prefix
// skip the region filter.
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

// timelyCandidates returns the runners that can accept the request now and meet its
// latency target. They belong to the request's rollout arm or, if that has none and the
// filter allows it, to the old arm. The control, the old runner under load, is used only if
// no other runner can take the request. If there are no candidates, it returns the delay
// after which there may be one, 0 if unknown, and records in the admission whether the
// runners are overloaded.
func (b *Balancer) timelyCandidates(snap *snapshot.Snapshot, admission *Admission, now clock.Instant) ([]candidate, time.Duration) {
	filter := b.options.Versions.Filter(snap, admission.service, admission.arm, now)
	admission.arm = filter.Arm
	timely, delay, overloaded := b.timelyMatching(snap, admission, filter, now)
	if len(timely) == 0 && filter.CanFallBack {
		admission.arm = canary.Old
		filter = b.options.Versions.Filter(snap, admission.service, admission.arm, now)
		timely, delay, overloaded = b.timelyMatching(snap, admission, filter, now)
	}
	if len(timely) == 0 && filter.ExcludesControl() {
		timely, delay, overloaded = b.timelyMatching(snap, admission, filter.WithControl(), now)
	}
	if overloaded {
		admission.overloaded = true
		return nil, 0
	}
	return timely, delay
}

// timelyMatching returns the runners that the filter allows and that can accept the request
// now and meet its latency target. overloaded reports that some runners can accept it now,
// but none in time.
func (b *Balancer) timelyMatching(snap *snapshot.Snapshot, admission *Admission, filter canary.Filter, now clock.Instant) (timely []candidate, delay time.Duration, overloaded bool) {
	candidates, delay := b.candidates(snap, admission, filter, now)
	timely = b.filterTimely(&admission.request, candidates, now)
	return timely, delay, len(timely) == 0 && len(candidates) > 0
}

// candidates returns the runners that can accept the request now. Runners that are
// ejected, quarantined or in a lost zone are returned only if there are no others and
// the filter does not require healthy ones. It counts the excluded runners in the
// admission's exclusions, and returns the delay after which one of them may become a
// candidate, or 0 if none will.
func (b *Balancer) candidates(snap *snapshot.Snapshot, admission *Admission, filter canary.Filter, now clock.Instant) ([]candidate, time.Duration) {
	check := readinessCheck{
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

// eligible reports whether the request may be sent to a runner, regardless of the
// runner's load and health. It counts a runner that is not eligible in a.exclusions.
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

// readinessCheck checks which runners of a service can accept a request now.
type readinessCheck struct {
	balancer *Balancer
	service  *config.Service
	now      clock.Instant
	// silenceLimit is the longest time that a runner with pending requests may send
	// no response.
	silenceLimit time.Duration
	// connectionShare is the number of requests that this router may have in flight
	// at a runner.
	connectionShare float64
}

// ready reports whether a runner can accept a request now, and soon whether it may
// after recheckDelay. It counts a runner that is not ready in exclusions.
func (r *readinessCheck) ready(runner *snapshot.Runner, stats *runnerstats.State, exclusions *Exclusions) (ready, soon bool) {
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

// load returns a runner's requests per slot. The requests are those that it reported
// plus those that this router sent since, or this router's requests in flight,
// whichever are more.
func load(runner *snapshot.Runner, stats *runnerstats.State) float64 {
	slots := math.Max(1, float64(runner.Capacity))
	reported := stats.Load.Running + stats.Load.Waiting
	return math.Max(reported+stats.Load.SentSince, stats.InFlight) / slots
}

// connectionShare returns this router's share of the connection limit of a service's
// runners. It is at least 1, and infinite if the service sets no limit.
func (b *Balancer) connectionShare(service *config.Service) float64 {
	if service == nil || service.MaxConnections <= 0 {
		return math.Inf(1)
	}
	return math.Max(1, float64(service.MaxConnections)/float64(max(1, b.options.RouterCount())))
}

// filterTimely removes the runners at which requests of the same priority have waited
// so long that another one would miss its latency target. If no runner is left,
// admitting the request would only delay the others.
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

// filterRegion restricts the candidates to one region. The region is drawn by the
// shares of the plan's flows from this router's region. Without a matching flow it is
// the router's own region, if that has candidates.
func (b *Balancer) filterRegion(snap *snapshot.Snapshot, admission *Admission, candidates []candidate) []candidate {
	regions := map[ids.Region][]candidate{}
	for _, cand := range candidates {
		regions[cand.runner.Region] = append(regions[cand.runner.Region], cand)
	}
	if len(regions) == 1 {
		return candidates
	}
	homes := admission.request.homeRegionsKey()
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

// pickTwoChoices draws two candidates at random by weight and returns the less loaded
// one ("power of two choices").
func (b *Balancer) pickTwoChoices(candidates []candidate) candidate {
	weight := func(cand candidate) float64 { return cand.weight }
	first, second := drawWeighted(b, candidates, weight), drawWeighted(b, candidates, weight)
	if second.load < first.load {
		return second
	}
	return first
}
