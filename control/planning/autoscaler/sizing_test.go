package autoscaler

import (
	"math"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/transport/transporttest"
)

func TestSizes_keepTheirBytes(t *testing.T) { transporttest.Golden[Sizes](t, "sizes") }

// newScaledService is a service in two regions of two zones each, with 10 runners in each
// zone at first.
func newScaledService() ScaledService {
	service := ScaledService{Service: "s", Slots: 64, Horizon: 12 * time.Second, TolerateRegion: true}
	for zone, region := range map[ids.Zone]ids.Region{"a": "north", "b": "north", "c": "south", "d": "south"} {
		service.Zones = append(service.Zones, ScaledZone{Zone: zone, Region: region, Min: 2, Max: 20, Present: 10, Usable: true})
	}
	return service
}

// simulateLoad lets the sizer decide once a second for a time, at a load of each region.
func simulateLoad(s *sizer, service ScaledService, now *clock.Instant, length time.Duration, load func(second float64) float64) {
	for range int(length / time.Second) {
		*now = now.Add(time.Second)
		perS := load(time.Duration(*now).Seconds())
		s.observe(service, map[ids.Region]float64{"north": perS, "south": perS}, *now)
		s.updateSizes(service, replicaLimit{rateLimit: 10}, *now)
	}
}

func constantLoad(perS float64) func(float64) float64 { return func(float64) float64 { return perS } }

// totalSize adds the sizes in force up; a zone without an order has what it had.
func totalSize(s *sizer, service ScaledService) (sum int64) {
	for _, zone := range service.Zones {
		wanted, ordered := s.ordered[sizeKey{service.Service, zone.Zone}]
		if !ordered {
			wanted = zone.Present
		}
		sum += wanted
	}
	return sum
}

// TestSizer_waitsForHorizonOfMetrics gives a new planner metrics for less than the
// horizon, and none at all: it orders nothing.
func TestSizer_waitsForHorizonOfMetrics(t *testing.T) {
	s, service, now := newSizer(), newScaledService(), clock.Instant(0)
	simulateLoad(s, service, &now, 30*time.Second, constantLoad(0))
	simulateLoad(s, service, &now, 11*time.Second, constantLoad(20))
	if len(s.ordered) > 0 {
		t.Errorf("ordered %v", s.ordered)
	}
}

// TestSizer_decreasesInSteps has a load that needs few runners: sizes go down in
// bounded steps to what the load and the loss of a region need, and not below.
func TestSizer_decreasesInSteps(t *testing.T) {
	s, service, now := newSizer(), newScaledService(), clock.Instant(0)
	before := totalSize(s, service)
	for range 80 {
		simulateLoad(s, service, &now, time.Second, constantLoad(20))
		after := totalSize(s, service)
		if lowered := before - after; lowered > before/maxDecreaseDivisor {
			t.Fatalf("from %d to %d in one step", before, after)
		}
		before = after
	}
	// 20 a second in each region, 1.15 of it, twice for the loss of a region, 10 a runner.
	if want := 4 * int64(math.Ceil(20*loadHeadroom*2/10/2)); before != want {
		t.Errorf("%d runners in all, want %d", before, want)
	}
}

// TestSizer_increasesAheadOfRisingLoad has the load rise: what is ordered is there a horizon
// before it is needed, in one step, and is not lowered at once.
func TestSizer_increasesAheadOfRisingLoad(t *testing.T) {
	s, service, now := newSizer(), newScaledService(), clock.Instant(0)
	simulateLoad(s, service, &now, 40*time.Second, constantLoad(20))
	low := totalSize(s, service)
	start := time.Duration(now).Seconds()
	rising := func(second float64) float64 { return 20 + 5*(second-start) }
	simulateLoad(s, service, &now, 10*time.Second, rising)
	needed := 2 * (rising(time.Duration(now).Seconds()+12) / 10)
	if got := totalSize(s, service); float64(got) < needed || got <= low {
		t.Errorf("%d runners, %g are needed a horizon later", got, needed)
	}
	raised := totalSize(s, service)
	simulateLoad(s, service, &now, service.Horizon/2, constantLoad(20))
	if got := totalSize(s, service); got < raised {
		t.Errorf("lowered to %d from %d within the horizon", got, raised)
	}
}

// TestSizer_oscillatingLoadOrdersNothing has the load go up and down by two fifths within two horizons, as
// the runners of the start bear it: none are ordered beyond these.
func TestSizer_oscillatingLoadOrdersNothing(t *testing.T) {
	s, service, now := newSizer(), newScaledService(), clock.Instant(0)
	before := totalSize(s, service)
	wave := func(second float64) float64 { return 70 * (1 + 0.4*math.Sin(2*math.Pi*second/26)) }
	for range 60 {
		simulateLoad(s, service, &now, time.Second, wave)
		if got := totalSize(s, service); got > before {
			t.Fatalf("%d runners ordered at %v, %d bear the load", got, now, before)
		}
	}
}

// TestSizer_lostRegionNeedsNoReserve loses one region of two: the other gets what all of the
// load needs, and not twice that.
func TestSizer_lostRegionNeedsNoReserve(t *testing.T) {
	s, service, now := newSizer(), newScaledService(), clock.Instant(0)
	simulateLoad(s, service, &now, 60*time.Second, constantLoad(60))
	for index := range service.Zones {
		service.Zones[index].Usable = service.Zones[index].Region != "north"
	}
	for range 20 {
		now = now.Add(time.Second)
		s.observe(service, map[ids.Region]float64{"south": 120}, now)
		s.updateSizes(service, replicaLimit{rateLimit: 10}, now)
	}
	got := s.ordered[sizeKey{"s", "c"}] + s.ordered[sizeKey{"s", "d"}]
	if needed := 120 * loadHeadroom / 10; float64(got) < needed || float64(got) > needed+2 {
		t.Errorf("%d runners in the region that is left, %g are needed", got, needed)
	}
}

// TestSizer_unusableZones has a zone be evacuated: nothing is lowered meanwhile, and the
// other zone of its region grows at once.
func TestSizer_unusableZones(t *testing.T) {
	s, service, now := newSizer(), newScaledService(), clock.Instant(0)
	simulateLoad(s, service, &now, 60*time.Second, constantLoad(40))
	before := totalSize(s, service)
	for index := range service.Zones {
		service.Zones[index].Usable = service.Zones[index].Zone != "a"
	}
	previous := s.ordered[sizeKey{"s", "b"}]
	simulateLoad(s, service, &now, 2*time.Second, constantLoad(40))
	if got := s.ordered[sizeKey{"s", "b"}]; got <= previous {
		t.Errorf("the other zone has %d of %d", got, previous)
	}
	simulateLoad(s, service, &now, 30*time.Second, constantLoad(5))
	if got := totalSize(s, service); got < before {
		t.Errorf("lowered to %d from %d while a zone is evacuated", got, before)
	}
}

// TestSizer_bounds keeps to the configuration's bounds, also where they change.
func TestSizer_bounds(t *testing.T) {
	s, service, now := newSizer(), newScaledService(), clock.Instant(0)
	simulateLoad(s, service, &now, 60*time.Second, constantLoad(1000))
	if got := totalSize(s, service); got != 4*20 {
		t.Errorf("%d runners at a load beyond all", got)
	}
	for index := range service.Zones {
		service.Zones[index].Max = 12
	}
	simulateLoad(s, service, &now, time.Second, constantLoad(1000))
	if got := totalSize(s, service); got != 4*12 {
		t.Errorf("%d runners after the largest size was lowered to 12", got)
	}
}
