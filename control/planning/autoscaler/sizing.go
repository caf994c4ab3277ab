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

// SizesKey is the key of the gossiped Sizes. It never changes.
const SizesKey = "sizes"

// Sizes are how many runners zones should have, where that is to be ordered.
type Sizes struct {
	Sizes []Size `avro:"Sizes"`
}

// SchemaName names the sent form; it must never change.
func (Sizes) SchemaName() string { return "ZoneSizes" }

// Size is how many runners of a service a zone should have.
type Size struct {
	Service ids.Service `avro:"Service"`
	Zone    ids.Zone    `avro:"Zone"`
	Wanted  int64       `avro:"Wanted"`
}

// SchemaName names the sent form; it must never change.
func (Size) SchemaName() string { return "ZoneSize" }

// ReadSizes decodes the body of the item with SizesKey.
func ReadSizes(body []byte) (Sizes, error) { return transport.Unmarshal[Sizes](body) }

// ScaledService is a service whose runners are ordered.
type ScaledService struct {
	Service ids.Service
	// Slots is how many requests a runner takes at once.
	Slots float64
	// Horizon is how long it takes from a decision until a new runner serves at its rate.
	Horizon time.Duration
	// TolerateRegion and TolerateZone say that the loss of one must be borne.
	TolerateRegion, TolerateZone bool
	Zones                        []ScaledZone
}

// ScaledZone is a zone of a ScaledService.
type ScaledZone struct {
	Zone   ids.Zone
	Region ids.Region
	// Min and Max bound the runners; Present are those that are listed and do not drain.
	Min, Max, Present int64
	// Usable is false for a zone that is evacuated or lost.
	Usable bool
}

const (
	// unsaturatedUtilization is the part of its slots that a runner is taken to bear while
	// its rate limit was never reached.
	unsaturatedUtilization = 0.4
	// saturatedUtilization is the part of its slots in use above which the test for a rate
	// limit is believed: a load that hardly varies looks like a limit.
	saturatedUtilization = 0.5
	// loadHeadroom is added to the forecast.
	loadHeadroom = 1.15
	// historyHorizons is for how many horizons the highest load counts.
	historyHorizons = 2
	// minIncreaseDivisor is the part of a zone's runners, one in so many, by which the load
	// must exceed them before more are ordered: new runners take prompts away from those
	// that have their prefixes cached. Saturated runners do not wait for that.
	minIncreaseDivisor = 5
	// increaseUtilization is the part of a region's runners that the load of late must take, at
	// the rate that they are planned with, before more are ordered: what is provided for bursts
	// and losses bears a rise until then, and a load that goes up and down would have runners
	// ordered at each rise.
	increaseUtilization = 0.75
	// maxDecreaseDivisor is the part of a zone's runners, one in so many, by which an order
	// lowers its size at most; decreasesPerHorizon is how often it may.
	maxDecreaseDivisor  = 3
	decreasesPerHorizon = 4
)

// sizer decides how many runners zones should have: the linear program's replicas over
// learnt rate limits and forecast load, up early and in one step, down late and in
// bounded steps. It is not safe for concurrent use.
type sizer struct {
	// history has the recent history of each service by region, oldest first.
	history map[ids.Service][]loadSample
	// ordered are the sizes in force; loweredAt and raisedAt are when they changed.
	ordered   map[sizeKey]int64
	loweredAt map[sizeKey]clock.Instant
	raisedAt  map[ids.Service]clock.Instant
	published []byte
}

type sizeKey struct {
	service ids.Service
	zone    ids.Zone
}

// loadSample are the requests a second of each region at an instant.
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

// restore takes the sizes in force over from what another planner published.
func (s *sizer) restore(sizes Sizes) {
	for _, size := range sizes.Sizes {
		s.ordered[sizeKey{size.Service, size.Zone}] = size.Wanted
	}
}

// observe records the load of a service. What precedes the first request is no load.
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

// coversHorizon reports whether the loads of a service were seen for long enough to
// order fewer runners.
func (s *sizer) coversHorizon(service ScaledService, now clock.Instant) bool {
	history := s.history[service.Service]
	return len(history) > 0 && now.Since(history[0].at) >= service.Horizon
}

// forecast returns the load of a region that is to be expected within the horizon: the
// highest of late, or what its rise leads to, unless that comes from a region that is lost.
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

// peakLoad returns the highest load of a region of late.
func (s *sizer) peakLoad(service ScaledService, region ids.Region) float64 {
	peak := 0.0
	for _, sample := range s.history[service.Service] {
		peak = max(peak, sample.loads[region])
	}
	return peak
}

// needsIncrease reports whether the load of a region takes so much of the sizes in force of its
// usable zones that more are to be ordered.
func (s *sizer) needsIncrease(service ScaledService, region ids.Region, rateLimit float64) bool {
	size := int64(0)
	for _, zone := range service.Zones {
		if zone.Region == region && zone.Usable {
			size += s.current(service.Service, zone)
		}
	}
	return s.peakLoad(service, region) >= increaseUtilization*rateLimit*float64(size)
}

// current returns the size in force of a zone, within its bounds.
func (s *sizer) current(service ids.Service, zone ScaledZone) int64 {
	current, ordered := s.ordered[sizeKey{service, zone.Zone}]
	if !ordered {
		current = zone.Present
	}
	return min(zone.Max, max(zone.Min, current))
}

// hasLostRegion reports whether no zone of some region can be used.
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

// redundancyFactor is by how much more than the load is provided for, so that one region, or one
// zone, may be lost. A region that is lost already is not provided for once more.
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

// requiredSizes returns how many runners each region's usable zones need: the linear program's,
// dealt evenly to the zones, since each is a failure domain.
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

// updateSizes updates the sizes in force. Nothing is ordered before the loads cover the
// horizon, unless runners are saturated; nothing is lowered while a zone can't be used, or
// soon after a rise.
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

// sizes returns the sizes in force in a stable order.
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

// planSizes decides the sizes of the services that are scaled and publishes them if they
// changed. The caller holds the lock, as Tick does.
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

// replicaLimit is the rate that one runner of a service is planned with.
type replicaLimit struct {
	rateLimit float64
	// saturated says that the rate is a limit that was reached.
	saturated bool
}

// replicaLimit returns the learnt limit where it was reached, else at least the rate at
// which a part of the slots would be in use, by Little's law over the present execution
// time. Its rate is 0 before any metrics.
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

// regionLoads returns the demand for a service by the region of the routers that received
// it, in requests a second.
func (w *window) regionLoads(service ids.Service) map[ids.Region]float64 {
	loads := map[ids.Region]float64{}
	for key, rate := range w.demand {
		if key.service == service {
			loads[key.origin] += rate.perS
		}
	}
	return loads
}
