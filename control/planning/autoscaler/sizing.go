package autoscaler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// SizesKey is the gossip key of Sizes. It must never change.
const SizesKey = "sizes"

// Sizes holds the number of runners that zones of scaled services should have.
type Sizes struct {
	Sizes []Size `avro:"Sizes"`
}

// SchemaName returns the Avro record name of the encoding, which is sent between
// daemons. It must never change.
func (Sizes) SchemaName() string { return "ZoneSizes" }

// Size is the number of runners of a service that a zone should have.
type Size struct {
	Service ids.Service `avro:"Service"`
	Zone    ids.Zone    `avro:"Zone"`
	Wanted  int64       `avro:"Wanted"`
}

// SchemaName returns the Avro record name of the encoding, which is sent between
// daemons. It must never change.
func (Size) SchemaName() string { return "ZoneSize" }

// ReadSizes decodes the body of the gossiped item with the key SizesKey.
func ReadSizes(body []byte) (Sizes, error) { return transport.Unmarshal[Sizes](body) }

// ScaledService is a service whose number of runners the planner decides.
type ScaledService struct {
	Service ids.Service
	// Slots is the number of requests that a runner serves concurrently.
	Slots float64
	// Horizon is the time from a decision until a new runner serves at its full rate.
	Horizon time.Duration
	// TolerateRegion and TolerateZone require enough runners to serve the load after
	// the loss of a region or of a zone.
	TolerateRegion, TolerateZone bool
	Zones                        []ScaledZone
}

// ScaledZone is a zone of a ScaledService.
type ScaledZone struct {
	Zone   ids.Zone
	Region ids.Region
	// Min and Max bound the number of runners. Present is the number of listed runners
	// that are not draining.
	Min, Max, Present int64
	// Usable is false for a zone that is evacuated or unreachable.
	Usable bool
}

const (
	// unsaturatedUtilization is the fraction of its slots that a runner is assumed to be
	// able to use as long as its rate limit was not reached.
	unsaturatedUtilization = 0.4
	// saturatedUtilization is the mean fraction of slots in use at and above which runners
	// count as saturated. The test of EstimateCapacity alone does not suffice, because a
	// load that hardly varies looks like a rate limit.
	saturatedUtilization = 0.5
	// loadHeadroom is the factor on the forecast load.
	loadHeadroom = 1.15
	// historyHorizons is the length of the load history, over which the peak load is
	// taken, in horizons.
	historyHorizons = 2
	// minIncreaseDivisor is the divisor of a zone's size that gives its minimum increase.
	// Smaller increases are not worth it, since new runners receive prompts whose prefixes
	// other runners have cached. It does not apply to saturated runners.
	minIncreaseDivisor = 5
	// increaseUtilization is the minimum ratio of a region's peak load to the rate limit of
	// its sizes in force at which they are increased. Until then, the capacity reserved for
	// bursts and losses absorbs an increase in load; otherwise, an oscillating load would
	// lead to an order at each rise. It does not apply to saturated runners.
	increaseUtilization = 0.75
	// maxDecreaseDivisor is the divisor of a zone's size that gives its maximum decrease in
	// one step. decreasesPerHorizon is the maximum number of these steps per horizon.
	maxDecreaseDivisor  = 3
	decreasesPerHorizon = 4
)

// sizer decides how many runners zones should have, by solving the linear program for
// the forecast load and the estimated rate limit. It increases sizes early and in one
// step, and decreases them late and in bounded steps. It is not safe for concurrent use.
type sizer struct {
	// history holds the recent loads of each service, oldest first.
	history map[ids.Service][]loadSample
	// ordered holds the sizes in force. loweredAt is when each was last decreased, and
	// raisedAt when a size of the service was last increased.
	ordered   map[sizeKey]int64
	loweredAt map[sizeKey]clock.Instant
	raisedAt  map[ids.Service]clock.Instant
	published []byte
}

type sizeKey struct {
	service ids.Service
	zone    ids.Zone
}

// loadSample is the load of each region at an instant, in requests per second.
type loadSample struct {
	at    clock.Instant
	loads map[ids.Region]float64
}

func newSizer() *sizer {
	return &sizer{
		history: map[ids.Service][]loadSample{}, ordered: map[sizeKey]int64{},
		loweredAt: map[sizeKey]clock.Instant{}, raisedAt: map[ids.Service]clock.Instant{},
	}
}

// restore adopts the sizes that another planner published.
func (s *sizer) restore(sizes Sizes) {
	for _, size := range sizes.Sizes {
		s.ordered[sizeKey{size.Service, size.Zone}] = size.Wanted
	}
}

// observe records the load of a service. The history starts once the total load reaches
// one request per second: the time before that must not count as low load.
func (s *sizer) observe(service ScaledService, loads map[ids.Region]float64, now clock.Instant) {
	total := 0.0
	for _, load := range loads {
		total += load
	}
	history := s.history[service.Service]
	if total < 1 && len(history) == 0 {
		return
	}
	history = append(history, loadSample{at: now, loads: loads})
	for len(history) > 1 && now.Since(history[1].at) > historyHorizons*service.Horizon {
		history = history[1:]
	}
	s.history[service.Service] = history
}

// coversHorizon reports whether the load history of a service spans at least one
// horizon.
func (s *sizer) coversHorizon(service ScaledService, now clock.Instant) bool {
	history := s.history[service.Service]
	return len(history) > 0 && now.Since(history[0].at) >= service.Horizon
}

// forecast returns the load of a region to provision for: the peak of the history, or
// the linear extrapolation over one horizon if that is higher, times loadHeadroom. It
// does not extrapolate before the history covers the horizon, nor while a region is lost,
// because the rise is then the load that moves from that region to the others.
func (s *sizer) forecast(service ScaledService, region ids.Region, now clock.Instant) float64 {
	history := s.history[service.Service]
	if len(history) == 0 {
		return 0
	}
	peak, last := s.peakLoad(service, region), history[len(history)-1]
	earlier := history[0]
	for _, sample := range history {
		if now.Since(sample.at) >= service.Horizon/2 {
			earlier = sample
		}
	}
	if span := last.at.Since(earlier.at); span > 0 && s.coversHorizon(service, now) && !hasLostRegion(service) {
		slope := (last.loads[region] - earlier.loads[region]) / span.Seconds()
		peak = max(peak, last.loads[region]+slope*service.Horizon.Seconds())
	}
	return peak * loadHeadroom
}

// peakLoad returns the highest load of a region in the history.
func (s *sizer) peakLoad(service ScaledService, region ids.Region) float64 {
	peak := 0.0
	for _, sample := range s.history[service.Service] {
		peak = max(peak, sample.loads[region])
	}
	return peak
}

// needsIncrease reports whether the peak load of a region reaches increaseUtilization of
// the capacity of its usable zones at their sizes in force.
func (s *sizer) needsIncrease(service ScaledService, region ids.Region, rateLimit float64) bool {
	size := int64(0)
	for _, zone := range service.Zones {
		if zone.Region == region && zone.Usable {
			size += s.current(service.Service, zone)
		}
	}
	return s.peakLoad(service, region) >= increaseUtilization*rateLimit*float64(size)
}

// current returns the size of a zone that is in force, or else the number of its present
// runners, limited to the bounds of the zone.
func (s *sizer) current(service ids.Service, zone ScaledZone) int64 {
	current, ordered := s.ordered[sizeKey{service, zone.Zone}]
	if !ordered {
		current = zone.Present
	}
	return min(zone.Max, max(zone.Min, current))
}

// hasLostRegion reports whether there is a region without a usable zone.
func hasLostRegion(service ScaledService) bool {
	usable := map[ids.Region]bool{}
	for _, zone := range service.Zones {
		usable[zone.Region] = usable[zone.Region] || zone.Usable
	}
	for _, isUsable := range usable {
		if !isUsable {
			return true
		}
	}
	return false
}

// redundancyFactor returns the factor on the load that leaves enough capacity after the
// loss of a region or of a zone, if the service has to tolerate that. It is 1 while a
// region is already lost: the loss of another one is not provided for.
func redundancyFactor(service ScaledService) float64 {
	regions, zones := map[ids.Region]bool{}, 0
	for _, zone := range service.Zones {
		regions[zone.Region] = true
		zones++
	}
	if hasLostRegion(service) {
		return 1
	}
	count := 0
	switch {
	case service.TolerateRegion:
		count = len(regions)
	case service.TolerateZone:
		count = zones
	}
	if count < 2 {
		return 1
	}
	return float64(count) / float64(count-1)
}

// requiredSizes returns the number of runners that each usable zone needs. The linear
// program gives the total of a region, which is divided evenly among its usable zones,
// since each zone is a failure domain.
func (s *sizer) requiredSizes(service ScaledService, rateLimit float64, now clock.Instant) map[ids.Zone]int64 {
	byRegion := map[ids.Region][]ScaledZone{}
	for _, zone := range service.Zones {
		if zone.Usable {
			byRegion[zone.Region] = append(byRegion[zone.Region], zone)
		}
	}
	wanted := map[ids.Zone]int64{}
	for region, zones := range byRegion {
		var types []ReplicaType
		for _, zone := range zones {
			types = append(types, ReplicaType{Cost: 1, RateLimit: rateLimit, Max: float64(zone.Max)})
		}
		total := 0.0
		for _, needed := range SolveReplicas(types, s.forecast(service, region, now)*redundancyFactor(service)) {
			total += needed
		}
		for _, zone := range zones {
			wanted[zone.Zone] = min(zone.Max, max(zone.Min, int64(math.Ceil(total/float64(len(zones))))))
		}
	}
	return wanted
}

// updateSizes updates the sizes in force of a service's usable zones. Unless runners are
// saturated, it does nothing until the history covers the horizon. It decreases no size
// until then, while any zone is unusable, or within one horizon of an increase.
func (s *sizer) updateSizes(service ScaledService, limit replicaLimit, now clock.Instant) {
	if !limit.saturated && !s.coversHorizon(service, now) {
		return
	}
	wanted := s.requiredSizes(service, limit.rateLimit, now)
	mayLower := s.coversHorizon(service, now) && now.Since(s.raisedAt[service.Service]) >= service.Horizon &&
		!slices.ContainsFunc(service.Zones, func(zone ScaledZone) bool { return !zone.Usable })
	for _, zone := range service.Zones {
		key := sizeKey{service.Service, zone.Zone}
		target, planned := wanted[zone.Zone]
		_, ordered := s.ordered[key]
		current := s.current(service.Service, zone)
		mayRaise := limit.saturated || (target-current >= (current+minIncreaseDivisor-1)/minIncreaseDivisor && s.needsIncrease(service, zone.Region, limit.rateLimit))
		switch {
		case !planned:
			continue
		case target > current && mayRaise:
			s.ordered[key], s.raisedAt[service.Service] = target, now
		case target < current && mayLower && now.Since(s.loweredAt[key]) >= service.Horizon/decreasesPerHorizon:
			step := max(1, current/maxDecreaseDivisor)
			s.ordered[key], s.loweredAt[key] = max(target, current-step), now
		case ordered:
			s.ordered[key] = current
		}
	}
}

// sizes returns the sizes in force, sorted by service and zone.
func (s *sizer) sizes() Sizes {
	var sizes Sizes
	for key, wanted := range s.ordered {
		sizes.Sizes = append(sizes.Sizes, Size{Service: key.service, Zone: key.zone, Wanted: wanted})
	}
	slices.SortFunc(sizes.Sizes, func(a, b Size) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone))
	})
	return sizes
}

// planSizes updates the sizes of the scaled services and publishes them if they changed.
// The caller must hold p.mu.
func (p *Planner) planSizes(now clock.Instant, runners []Runner) {
	if p.options.ScaledServices == nil {
		return
	}
	for _, service := range p.options.ScaledServices() {
		p.sizer.observe(service, p.window.regionLoads(service.Service), now)
		if limit := p.replicaLimit(service, runners); limit.rateLimit > 0 {
			p.sizer.updateSizes(service, limit, now)
		}
	}
	sizes := p.sizer.sizes()
	if len(sizes.Sizes) == 0 {
		return
	}
	body, err := transport.Marshal(sizes)
	if err == nil && !slices.Equal(body, p.sizer.published) && p.put(SizesKey, body) {
		p.sizer.published = body
	}
}

// replicaLimit is the rate limit that one runner of a service is planned with, in
// requests per second.
type replicaLimit struct {
	rateLimit float64
	// saturated is true if the runners are saturated, so that rateLimit is an actual
	// limit and not a lower bound.
	saturated bool
}

// replicaLimit returns the estimated rate limit of a runner of the service: the highest one
// of its types. If the runners are not saturated, the limit is at least the rate at which
// unsaturatedUtilization of the slots would be in use, by Little's law with the execution
// time over the last horizon. The limit is 0 if no request finished in that time, or if the
// runners are saturated and there are too few metrics for an estimate.
func (p *Planner) replicaLimit(service ScaledService, runners []Runner) replicaLimit {
	finished, running, points := 0.0, 0.0, 0.0
	for _, series := range p.window.runners {
		if series.service != service.Service {
			continue
		}
		for _, point := range series.points[max(0, len(series.points)-int(service.Horizon/p.options.Interval)):] {
			finished, running, points = finished+point.finished, running+point.running, points+1
		}
	}
	if finished <= 0 || running <= 0 {
		return replicaLimit{}
	}
	limit := 0.0
	for key, capacity := range p.typeCapacities(runners) {
		if key.service == service.Service {
			limit = max(limit, capacity.RateLimit)
		}
	}
	if utilization := running / points / max(1, service.Slots); utilization >= saturatedUtilization {
		return replicaLimit{rateLimit: limit, saturated: true}
	}
	return replicaLimit{rateLimit: max(limit, unsaturatedUtilization*service.Slots*finished/running)}
}

// regionLoads returns the demand for a service in requests per second, by the region of
// the routers that received it.
func (w *window) regionLoads(service ids.Service) map[ids.Region]float64 {
	loads := map[ids.Region]float64{}
	for key, rate := range w.demand {
		if key.service == service {
			loads[key.origin] += rate.perS
		}
	}
	return loads
}
