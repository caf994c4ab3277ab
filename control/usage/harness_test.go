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
	// mayActAt is when the holder may act.
	mayActAt clock.Instant
	// oneRegion has the holder be in the region of all zones, so that they send copies.
	oneRegion bool
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
			return f.collectors[f.holder].ReceiveSums(ctx, req)
		},
		SendReports: func(ctx context.Context, _ ids.Address, req CollectRequest) (CollectResponse, error) {
			return f.collectors[f.holder].ReceiveReports(ctx, req)
		},
		SendCopy: func(ctx context.Context, counts ZoneCounts) {
			if f.holder >= 0 && f.oneRegion {
				_, _ = f.collectors[1-f.holder].ReceiveCopy(ctx, counts)
			}
		},
	})
}

func (f *fleet) startCollector(index int) {
	f.collectors[index] = NewCollector(CollectorOptions{
		Clock: f.clock, Now: f.now, Synced: func() bool { return true }, Window: testWindow, DueAfter: testLate, Zones: testZoneNames, MergeTime: f.merge, CallsPerStep: testCallsPerStep,
		FetchCopies: func(ctx context.Context) []ZoneCounts {
			resp, _ := f.collectors[1-index].ListCopies(ctx, CopiesRequest{})
			return resp.Zones
		},
		Assigned: func() (int64, bool) { return f.fence, f.holder == index },
		Held:     func() (int64, bool) { return f.fence, f.holder == index && !f.clock.Now().Before(f.mayActAt) }, Update: f.update, Call: f.call,
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
	stored, err := transport.UnmarshalStored[Log](LogKey, f.stored)
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
	var got usageReport
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
			router.meter.CountRequest(tenant, 0)
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
	report.Router, report.Incarnation = routerAddress(index), router.life
	if resp, err := f.relays[router.zone].ReceiveReport(context.Background(), report); err == nil {
		router.meter.DropDecided(resp.Decided)
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
		var got usageReport
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
