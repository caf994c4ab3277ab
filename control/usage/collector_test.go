package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/proptest"
	"onyxwell/control/duty"
	"onyxwell/control/transport"
)

func TestMain(m *testing.M) { proptest.Run(m) }

var errLost = errors.New("lost")

const (
	testWindow  = 5 * time.Second
	testLate    = 10 * time.Second
	testZones   = 3
	testRouters = 6
	testStep    = 250 * time.Millisecond
	// testCallsPerStep is how many reports a holder may send in a step.
	testCallsPerStep = 2
	// testEpoch is the agreed time at the clock's zero, the start of a window.
	testEpoch = time.Duration(1_700_000_000) * time.Second
)

var testZoneNames = []ids.Zone{"0", "1", "2"}

// fleet is routers with their meters, a relay in each zone, two collectors of which one
// holds the part at a time, and a platform that judges, on one fake clock.
type fleet struct {
	clock      *clock.Fake
	random     *rand.Rand
	routers    []*testRouter
	relays     [testZones]*Relay
	collectors [2]*Collector
	// copies are those that the collectors' controllers keep; that of the holder is lost
	// with it.
	copies [2]*Copies
	// holder is the collector that holds the part, under fence; -1 is none.
	holder int
	fence  int64
	stored []byte
	// forgets has the store lose its last decisions whenever the holder changes.
	forgets bool
	// storeLost has answers of the store be lost, platform says what the platform does.
	storeLost bool
	platform  testPlatform
	// merge is what collectors are given for Merge; zones that are cut reach no holder.
	merge time.Duration
	cut   [testZones]bool
	// olderHolder has the holders not know sums, as in an older build.
	olderHolder bool
	// ran has what the runners began.
	ran map[int64]map[ids.Tenant]int64
}

type testRouter struct {
	zone  int
	meter *Meter
	life  int64
	// cut routers report to nobody; those that are down get no requests either.
	cut, down bool
}

// testPlatform takes every call and remembers the first report of each window.
type testPlatform struct {
	// down takes nothing; lossy takes the call and loses the answer.
	down, lossy bool
	first       map[int64]string
	takenAt     map[int64]time.Duration
	differing   []string
	calls       int
}

func newFleet(seed uint64) *fleet {
	f := &fleet{
		clock: clock.NewFake(), random: rand.New(rand.NewPCG(seed, 3)), ran: map[int64]map[ids.Tenant]int64{},
		platform: testPlatform{first: map[int64]string{}, takenAt: map[int64]time.Duration{}},
	}
	for index := range testRouters {
		f.routers = append(f.routers, &testRouter{zone: index % testZones})
		f.startRouter(index)
	}
	for zone := range f.relays {
		f.startRelay(zone)
	}
	for index := range f.collectors {
		f.startCollector(index)
	}
	f.hold(0)
	return f
}

func (f *fleet) now() time.Duration { return testEpoch + time.Duration(f.clock.Now()) }

func (f *fleet) startRouter(index int) {
	f.routers[index].meter, f.routers[index].life = NewMeter(testWindow, f.now), int64(f.now())+int64(index)
}

func routerAddress(index int) ids.Address { return ids.Address(fmt.Sprintf("r%d", index)) }

func (f *fleet) startRelay(zone int) {
	f.relays[zone] = NewRelay(RelayOptions{
		Zone: testZoneNames[zone], Now: func() int64 { return int64(f.now()) },
		Routers: func() (up []ids.Address) {
			for index, router := range f.routers {
				if router.zone == zone && !router.down {
					up = append(up, routerAddress(index))
				}
			}
			return up
		},
		Term: func() Term { return Term{Holder: "holder", Fence: f.fence} },
		SendSums: func(ctx context.Context, _ ids.Address, req SumsRequest) (CollectResponse, error) {
			if f.holder < 0 || f.routers[zone].down || f.cut[zone] {
				return CollectResponse{}, errLost
			}
			if f.olderHolder {
				return CollectResponse{}, errkind.Errorf(errkind.UnknownCall, "sums")
			}
			return f.collectors[f.holder].TakeSums(ctx, req)
		},
		Collect: func(ctx context.Context, _ ids.Address, req CollectRequest) (CollectResponse, error) {
			return f.collectors[f.holder].Collect(ctx, req)
		},
		Copy: func(ctx context.Context, counts ZoneCounts) {
			if f.holder >= 0 {
				_, _ = f.copies[1-f.holder].Take(ctx, counts)
			}
		},
	})
}

func (f *fleet) startCollector(index int) {
	f.copies[index] = NewCopies(testZoneNames)
	f.collectors[index] = NewCollector(Options{
		Clock: f.clock, Now: f.now, Synced: func() bool { return true }, Window: testWindow, Late: testLate, Zones: testZoneNames, Merge: f.merge, CallsPerStep: testCallsPerStep,
		Copies: func(ctx context.Context) []ZoneCounts {
			resp, _ := f.copies[index].Give(ctx, CopiesRequest{})
			return resp.Zones
		},
		Held: func() (int64, bool) { return f.fence, f.holder == index }, Update: f.update, Call: f.call,
	})
}

// hold gives the part to a collector under the next fence, or to none.
func (f *fleet) hold(index int) {
	f.holder = index
	f.fence++
	if f.forgets {
		f.forgetDecisions()
	}
}

// forgetDecisions has the store lose the last decisions.
func (f *fleet) forgetDecisions() {
	stored, err := decodeLog(f.stored)
	if err != nil || stored.Decided == 0 {
		return
	}
	f.stored, _ = transport.Marshal(Log{Decided: stored.Decided - 2})
}

func (f *fleet) update(_ context.Context, _ string, update duty.UpdateFunc) ([]byte, error) {
	next, err := update(slices.Clone(f.stored))
	if err != nil {
		return nil, err
	}
	f.stored = next
	if f.storeLost && f.random.IntN(3) == 0 {
		return nil, errLost
	}
	return next, nil
}

func (f *fleet) call(_ context.Context, _ int64, call duty.Call) (int, error) {
	f.platform.calls++
	if f.platform.down {
		return 0, errLost
	}
	var got report
	if err := json.Unmarshal(call.Body, &got); err != nil {
		return 400, nil
	}
	if first, known := f.platform.first[got.Window]; known && first != string(call.Body) {
		f.platform.differing = append(f.platform.differing, fmt.Sprintf("%s after %s", call.Body, first))
	} else if !known {
		f.platform.first[got.Window], f.platform.takenAt[got.Window] = string(call.Body), f.now()
	}
	if f.platform.lossy && f.random.IntN(2) == 0 {
		return 0, errLost
	}
	return 200, nil
}

// step sends requests, and lets everybody do what is due.
func (f *fleet) step(tick int) {
	for index, router := range f.routers {
		if router.down {
			continue
		}
		for range f.random.IntN(4) {
			tenant := ids.Tenant(fmt.Sprintf("t%d", f.random.IntN(3)))
			router.meter.Began(tenant, 0)
			window := int64(f.now() / testWindow)
			if f.ran[window] == nil {
				f.ran[window] = map[ids.Tenant]int64{}
			}
			f.ran[window][tenant]++
		}
		if tick%4 == 0 && !router.cut {
			f.report(index)
		}
	}
	f.clock.Advance(testStep)
	for zone, relay := range f.relays {
		if !f.routers[zone].down {
			relay.Forward(context.Background())
			relay.SendCopy(context.Background())
		}
	}
	for _, collector := range f.collectors {
		collector.Step(context.Background())
	}
}

func (f *fleet) report(index int) {
	router := f.routers[index]
	report := router.meter.Report()
	report.Router, report.Life = routerAddress(index), router.life
	if resp, err := f.relays[router.zone].Report(context.Background(), report); err == nil {
		router.meter.Decided(resp.Decided)
	}
}

func (f *fleet) run(length time.Duration) {
	for tick := range int(length / testStep) {
		f.step(tick)
	}
}

// wrong returns the windows between two that were reported late, not at all, or with a
// count that is off by more than a tolerance of requests.
func (f *fleet) wrong(first, last int64, tolerance int64) (wrong []string) {
	for window := first; window <= last; window++ {
		due := time.Duration(window+1)*testWindow + testLate
		if f.platform.takenAt[window] > due {
			wrong = append(wrong, fmt.Sprintf("window %d is late", window))
		}
	}
	return append(wrong, f.miscounted(first, last, tolerance)...)
}

// miscounted returns the windows between two that were not reported, or with a count that
// is off by more than a tolerance of requests.
func (f *fleet) miscounted(first, last int64, tolerance int64) (wrong []string) {
	for window := first; window <= last; window++ {
		text, taken := f.platform.first[window]
		if !taken {
			wrong = append(wrong, fmt.Sprintf("window %d is missing", window))
			continue
		}
		var got report
		_ = json.Unmarshal([]byte(text), &got)
		for tenant, count := range f.ran[window] {
			if off := count - got.Counts[tenant]; off > tolerance || off < -tolerance {
				wrong = append(wrong, fmt.Sprintf("window %d, %s: %d reported of %d", window, tenant, got.Counts[tenant], count))
			}
		}
	}
	return wrong
}

// windowsBetween returns the first window that begins after one instant and the last that
// falls due before another.
func windowsBetween(from, to time.Duration) (first, last int64) {
	return int64(from/testWindow) + 1, int64((to-testLate)/testWindow) - 1
}

// TestUsage_countsEveryRequestInCalm has nothing fail: every window is reported in time,
// exactly, and with one call; also where the holder knows reports of routers alone.
func TestUsage_countsEveryRequestInCalm(t *testing.T) {
	for _, olderHolder := range []bool{false, true} {
		testCalm(t, olderHolder)
	}
}

func testCalm(t *testing.T, olderHolder bool) {
	t.Helper()
	f := newFleet(1)
	f.olderHolder = olderHolder
	start := f.now()
	f.run(60 * time.Second)
	first, last := windowsBetween(start, f.now())
	if wrong := f.wrong(first, last, 0); len(wrong) > 0 || last-first < 7 {
		t.Errorf("windows %d to %d: %v", first, last, wrong)
	}
	for window := first; window <= last; window++ {
		if after := f.platform.takenAt[window] - time.Duration(window+1)*testWindow; after > 2*time.Second {
			t.Errorf("window %d is reported %v after its end, though all routers have closed it", window, after)
		}
	}
	if stats := f.collectors[0].Stats(); stats.Incomplete > 1 {
		t.Errorf("%d windows are decided without all zones", stats.Incomplete)
	}
	if f.platform.calls != len(f.platform.first) {
		t.Errorf("%d calls for %d windows", f.platform.calls, len(f.platform.first))
	}
}

// TestUsage_oneReportUnderFaults has holders change at any time, also while nobody knows
// whether a decision was stored or a report taken; relays and routers restart.
func TestUsage_oneReportUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"))
		f.run(5 * time.Second)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			f.fault(rapid.IntRange(0, 6).Draw(t, "fault"))
			f.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond)
		}
		if len(f.platform.differing) > 0 {
			t.Fatalf("two reports of one window: %s", f.platform.differing[0])
		}
		f.storeLost, f.platform.down, f.platform.lossy = false, false, false
		for _, router := range f.routers {
			router.cut = false
		}
		f.hold(0)
		calmFrom := f.now()
		f.run(40 * time.Second)
		first, last := windowsBetween(calmFrom+testLate, f.now())
		if wrong := f.wrong(first, last, 0); len(wrong) > 0 {
			t.Fatalf("after the faults: %v", wrong)
		}
	})
}

// fault begins or ends a fault.
func (f *fleet) fault(kind int) {
	switch kind {
	case 0:
		f.hold(1 - max(0, f.holder))
	case 1:
		f.holder = -1
	case 2:
		index := f.random.IntN(2)
		f.startCollector(index)
		f.hold(index)
	case 3:
		f.startRelay(f.random.IntN(testZones))
	case 4:
		f.storeLost = !f.storeLost
	case 5:
		f.platform.down, f.platform.lossy = f.random.IntN(3) == 0, f.random.IntN(2) == 0
	case 6:
		f.routers[f.random.IntN(testRouters)].cut = f.random.IntN(2) == 0
	}
}

// TestUsage_plantedFaultIsFound has the store forget decisions, so that the next holder
// counts anew: the platform must see two reports of one window.
func TestUsage_plantedFaultIsFound(t *testing.T) {
	for seed := range uint64(50) {
		f := newFleet(seed)
		f.forgets = true
		for range 10 {
			f.run(time.Duration(f.random.IntN(6000)) * time.Millisecond)
			f.fault(f.random.IntN(3))
		}
		if len(f.platform.differing) > 0 {
			return
		}
	}
	t.Error("nothing is found in 50 seeds")
}

// TestUsage_lossesWithinTolerance kills and stops a router, restarts a relay and loses the
// holder: counts stay within what one killed router had not told, a second of its own.
func TestUsage_lossesWithinTolerance(t *testing.T) {
	f := newFleet(4)
	start := f.now()
	f.run(12 * time.Second)
	f.startRouter(0)
	f.run(7 * time.Second)
	f.startRelay(1)
	f.run(3 * time.Second)
	f.routers[1].meter.End()
	f.report(1)
	f.startRouter(1)
	f.run(9 * time.Second)
	f.holder = -1
	f.run(5 * time.Second)
	f.hold(1)
	f.run(30 * time.Second)
	first, last := windowsBetween(start, f.now())
	if wrong := f.wrong(first, last, 5); len(wrong) > 0 {
		t.Errorf("%v", wrong)
	}
}

// TestUsage_holderLostWithItsRegion loses a zone with all its routers and its relay together
// with the holder, in the middle of a window: the next holder counts what the copy had. On a
// benchmark day 944 of 3,214 requests of such a window were missing.
func TestUsage_holderLostWithItsRegion(t *testing.T) {
	f := newFleet(6)
	start := f.now()
	f.run(14 * time.Second)
	for _, router := range f.routers {
		router.down = router.zone == 0
	}
	f.startCollector(0)
	f.hold(1)
	f.run(4 * time.Second)
	for index, router := range f.routers {
		if router.down {
			router.down = false
			f.startRouter(index)
		}
	}
	f.startRelay(0)
	f.run(30 * time.Second)
	first, last := windowsBetween(start, f.now())
	// Each router of the zone loses what it had not reported, for a second at most.
	if wrong := f.wrong(first, last, 8); len(wrong) > 0 {
		t.Errorf("%v", wrong)
	}
}

// TestUsage_cutZones cuts a zone off for 20 s. Where the settings tell how long the sides
// take to come together, its windows wait for it, and are whole; else they are decided at the
// usual time.
func TestUsage_cutZones(t *testing.T) {
	for merge, want := range map[time.Duration]int{0: 1, 3 * time.Second: 0} {
		f := newFleet(8)
		f.merge = merge
		f.startCollector(0)
		start := f.now()
		f.run(12 * time.Second)
		f.cut[1] = true
		f.run(20 * time.Second)
		f.cut[1] = false
		healed := f.now()
		f.run(30 * time.Second)
		first, last := windowsBetween(start, f.now())
		wrong := f.miscounted(first, last, 0)
		if min(len(wrong), 1) != want {
			t.Errorf("merge %v: %v", merge, wrong)
		}
		for window := first; window <= last; window++ {
			due := max(time.Duration(window+1)*testWindow, healed+merge) + testLate
			if f.platform.takenAt[window] > due {
				t.Errorf("merge %v: window %d is late", merge, window)
			}
		}
	}
}

// TestUsage_zoneLostForGood loses a zone that is waited for: after a minute windows are
// reported in time again.
func TestUsage_zoneLostForGood(t *testing.T) {
	f := newFleet(9)
	f.merge = 3 * time.Second
	f.startCollector(0)
	f.run(12 * time.Second)
	for _, router := range f.routers {
		router.down = router.zone == 0
	}
	f.run(longestCut + testLate)
	calm := f.now()
	f.run(40 * time.Second)
	first, last := windowsBetween(calm, f.now())
	if wrong := f.wrong(first, last, 0); len(wrong) > 0 {
		t.Errorf("%v", wrong)
	}
}

// TestRelay_outOfReachOfHolder cuts a relay off from the holder: routers are told to report to
// another one, too, and what they reported is forwarded once the holder answers.
func TestRelay_outOfReachOfHolder(t *testing.T) {
	f := newFleet(7)
	f.run(3 * time.Second)
	f.holder = -1
	f.run(2 * time.Second)
	report := RouterReport{Router: routerAddress(0), Life: f.routers[0].life, Through: 1}
	if _, err := f.relays[0].Report(context.Background(), report); err == nil {
		t.Error("a relay that does not reach the holder takes reports as if it did")
	}
	f.hold(0)
	f.run(time.Second)
	if _, err := f.relays[0].Report(context.Background(), report); err != nil {
		t.Errorf("a relay in reach of the holder: %v", err)
	}
}

// TestUsage_platformDown has the platform be down for a minute: the decided windows are
// reported afterwards, oldest first, and each once.
func TestUsage_platformDown(t *testing.T) {
	f := newFleet(5)
	start := f.now()
	f.run(10 * time.Second)
	f.platform.down = true
	f.run(60 * time.Second)
	f.platform.down = false
	for range int(15 * time.Second / testStep) {
		before := f.platform.calls
		f.run(testStep)
		if calls := f.platform.calls - before; calls > testCallsPerStep {
			t.Errorf("%d calls in a step", calls)
		}
	}
	first, last := windowsBetween(start, f.now())
	for window := first; window <= last; window++ {
		if _, taken := f.platform.first[window]; !taken {
			t.Errorf("window %d is not reported", window)
		}
	}
	if failed := f.collectors[0].Stats().Failed; failed > 120 {
		t.Errorf("%d failed calls in a minute", failed)
	}
}

// TestMeter_closedWindowsTakeNoMore has the agreed time step back after a window was told
// as closed: what begins then counts in the next one.
func TestMeter_closedWindowsTakeNoMore(t *testing.T) {
	now := 100 * testWindow
	meter := NewMeter(testWindow, func() time.Duration { return now })
	meter.Began("a", 0)
	now += testWindow + settleTime
	if report := meter.Report(); report.Through != 100 || len(report.Windows) != 1 {
		t.Fatalf("%+v", report)
	}
	now -= testWindow
	meter.Began("a", 0)
	report := meter.Report()
	for _, window := range report.Windows {
		if window.Counts[0] != 1 {
			t.Errorf("window %d has %v", window.Window, window.Counts)
		}
	}
	if len(report.Windows) != 2 {
		t.Errorf("%+v", report)
	}
}
