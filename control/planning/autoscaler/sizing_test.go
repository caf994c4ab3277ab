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

// newScaledService returns a service in two regions of two zones each, with 10 runners in
// each zone.
func newScaledService() ScaledService {
	service := ScaledService{Service: "s", Slots: 64, Horizon: 12 * time.Second, TolerateRegion: true}
	for zone, region := range map[ids.Zone]ids.Region{"a": "north", "b": "north", "c": "south", "d": "south"} {
		service.Zones = append(service.Zones, ScaledZone{Zone: zone, Region: region, Min: 2, Max: 20, Present: 10, Usable: true})
	}
	return service
}

// simulateLoad simulates a time during which each region has the given load, and updates
// the sizes once per second.
func simulateLoad(s *sizer, service ScaledService, now *clock.Instant, length time.Duration, load func(second float64) float64) {
	for range int(length / time.Second) {
		*now = now.Add(time.Second)
		perS := load(time.Duration(*now).Seconds())
		s.observe(service, map[ids.Region]float64{"north": perS, "south": perS}, *now)
		s.updateSizes(service, replicaLimit{rateLimit: 10}, *now)
	}
}

func constantLoad(perS float64) func(float64) float64 { return func(float64) float64 { return perS } }

// totalSize returns the sum of the sizes in force. A zone without one counts with its
// present runners.
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

// TestSizer_waitsForHorizonOfMetrics gives a new sizer no load and then load for less than
// a horizon: it must not order any size.
func TestSizer_waitsForHorizonOfMetrics(t *testing.T) {
	s, service, now := newSizer(), newScaledService(), clock.Instant(0)
	simulateLoad(s, service, &now, 30*time.Second, constantLoad(0))
	simulateLoad(s, service, &now, 11*time.Second, constantLoad(20))
	if len(s.ordered) > 0 {
		t.Errorf("ordered %v", s.ordered)
	}
}

// TestSizer_decreasesInSteps applies a load that needs few runners: sizes must decrease in
// bounded steps, down to what the load and the loss of a region require.
func TestSizer_decreasesInSteps(t *testing.T) {
	s, service, now := newSizer(), newScaledService(), clock.Instant(0)
	before := totalSize(s, service)
	for range 80 {
		simulateLoad(s, service, &now, time.Second, constantLoad(20))
		after := totalSize(s, service)
		if lowered := before - after; lowered > before/maxDecreaseDivisor {
			t.Fatalf("decreased from %d to %d in one step", before, after)
		}
		before = after
	}
	// Each region has a load of 20 per second, times 1.15 for headroom, times 2 for the
	// loss of a region. A runner serves 10 per second, and a region has two zones.
	if want := 4 * int64(math.Ceil(20*loadHeadroom*2/10/2)); before != want {
		t.Errorf("%d runners in total, want %d", before, want)
	}
}

// TestSizer_increasesAheadOfRisingLoad applies a rising load: sizes must cover the load of
// one horizon later, and must not decrease right after the rise.
func TestSizer_increasesAheadOfRisingLoad(t *testing.T) {
	s, service, now := newSizer(), newScaledService(), clock.Instant(0)
	simulateLoad(s, service, &now, 40*time.Second, constantLoad(20))
	low := totalSize(s, service)
	start := time.Duration(now).Seconds()
	rising := func(second float64) float64 { return 20 + 5*(second-start) }
	simulateLoad(s, service, &now, 10*time.Second, rising)
	needed := 2 * (rising(time.Duration(now).Seconds()+12) / 10)
	if got := totalSize(s, service); float64(got) < needed || got <= low {
		t.Errorf("%d runners, the load of a horizon later needs %g", got, needed)
	}
	raised := totalSize(s, service)
	simulateLoad(s, service, &now, service.Horizon/2, constantLoad(20))
	if got := totalSize(s, service); got < raised {
		t.Errorf("decreased to %d from %d within the horizon", got, raised)
	}
}

// TestSizer_oscillatingLoadOrdersNothing applies a load that oscillates by 40 percent with
// a period of about two horizons, and that the initial runners can serve: no more runners
// must be ordered.
func TestSizer_oscillatingLoadOrdersNothing(t *testing.T) {
	s, service, now := newSizer(), newScaledService(), clock.Instant(0)
	before := totalSize(s, service)
	wave := func(second float64) float64 { return 70 * (1 + 0.4*math.Sin(2*math.Pi*second/26)) }
	for range 60 {
		simulateLoad(s, service, &now, time.Second, wave)
		if got := totalSize(s, service); got > before {
			t.Fatalf("%d runners ordered at %v, although %d are enough for the load", got, now, before)
		}
	}
}

// TestSizer_lostRegionNeedsNoReserve loses one region of two: the other one must get the
// runners that the whole load needs, but no reserve for the loss of another region.
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
		t.Errorf("%d runners in the remaining region, %g are needed", got, needed)
	}
}

// TestSizer_unusableZones evacuates a zone: no size may decrease in the meantime, and the
// other zone of its region must grow immediately.
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
		t.Errorf("the other zone has size %d, want more than %d", got, previous)
	}
	simulateLoad(s, service, &now, 30*time.Second, constantLoad(5))
	if got := totalSize(s, service); got < before {
		t.Errorf("decreased to %d from %d while a zone is evacuated", got, before)
	}
}

// TestSizer_bounds checks that sizes stay within the configured bounds, also after these
// change.
func TestSizer_bounds(t *testing.T) {
	s, service, now := newSizer(), newScaledService(), clock.Instant(0)
	simulateLoad(s, service, &now, 60*time.Second, constantLoad(1000))
	if got := totalSize(s, service); got != 4*20 {
		t.Errorf("%d runners at a load above the capacity of all zones, want the maximum", got)
	}
	for index := range service.Zones {
		service.Zones[index].Max = 12
	}
	simulateLoad(s, service, &now, time.Second, constantLoad(1000))
	if got := totalSize(s, service); got != 4*12 {
		t.Errorf("%d runners after the maximum of each zone was reduced to 12", got)
	}
}
