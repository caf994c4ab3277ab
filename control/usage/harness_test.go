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
	testWindow   = 5 * time.Second
	testDueAfter = 10 * time.Second
	testZones    = 3
	testRouters  = 6
	testStep     = 250 * time.Millisecond
	// testCallsPerStep is the maximum number of reports that a holder sends per step.
	testCallsPerStep = 2
	// testEpoch is the synchronized time at the zero of the fake clock, the start of a window.
	testEpoch = time.Duration(1_700_000_000) * time.Second
)

var testZoneNames = []ids.Zone{"0", "1", "2"}

// fleet simulates routers with their meters, a relay in each zone, two collectors of which at
// most one holds the usage part, and a platform that checks reports, on one fake clock.
type fleet struct {
	clock      *clock.Fake
	random     *rand.Rand
	routers    []*testRouter
	relays     [testZones]*Relay
	collectors [2]*Collector
	// holder is the index of the collector that holds the usage part under fence, or -1.
	holder int
	fence  int64
	stored []byte
	// losesDecisions has the store lose its last decisions whenever the holder changes.
	losesDecisions bool
	// losesStoreResponses has responses of the store get lost at random.
	losesStoreResponses bool
	platform            testPlatform
	// mergeTime is the collectors' MergeTime. Relays of partitioned zones do not reach the
	// holder.
	mergeTime   time.Duration
	partitioned [testZones]bool
	// callsAllowedAt is the time from which the holder may make calls.
	callsAllowedAt clock.Instant
	// sendCopies has all relays send copies, as if the holder were in their region.
	sendCopies bool
	// legacyHolder makes the holder not support sums, as in an older build.
	legacyHolder bool
	// requests counts the requests that runners started, by window and tenant.
	requests map[int64]map[ids.Tenant]int64
}

type testRouter struct {
	zone        int
	meter       *Meter
	incarnation int64
	// A partitioned router does not report. A router that is down gets no requests either.
	partitioned, down bool
}

// testPlatform accepts reports, records the first one of each window and when it was accepted,
// and lists later ones that differ from it.
type testPlatform struct {
	// down makes it accept nothing; losesResponses makes it accept calls and lose responses at
	// random.
	down, losesResponses bool
	firstReports         map[int64]string
	acceptedAt           map[int64]time.Duration
	conflicts            []string
	calls                int
}

func newFleet(seed uint64) *fleet {
	f := &fleet{
		clock: clock.NewFake(), random: rand.New(rand.NewPCG(seed, 3)), requests: map[int64]map[ids.Tenant]int64{},
		platform: testPlatform{firstReports: map[int64]string{}, acceptedAt: map[int64]time.Duration{}},
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
	f.assignTo(0)
	return f
}

func (f *fleet) now() time.Duration { return testEpoch + time.Duration(f.clock.Now()) }

func (f *fleet) startRouter(index int) {
	f.routers[index].meter, f.routers[index].incarnation = NewMeter(testWindow, f.now), int64(f.now())+int64(index)
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
			if f.holder < 0 || f.routers[zone].down || f.partitioned[zone] {
				return CollectResponse{}, errLost
			}
			if f.legacyHolder {
				return CollectResponse{}, errkind.Errorf(errkind.UnknownCall, "sums")
			}
			return f.collectors[f.holder].ReceiveSums(ctx, req)
		},
		SendReports: func(ctx context.Context, _ ids.Address, req CollectRequest) (CollectResponse, error) {
			return f.collectors[f.holder].ReceiveReports(ctx, req)
		},
		SendCopy: func(ctx context.Context, counts ZoneCounts) {
			if f.holder >= 0 && f.sendCopies {
				_, _ = f.collectors[1-f.holder].ReceiveCopy(ctx, counts)
			}
		},
	})
}

func (f *fleet) startCollector(index int) {
	f.collectors[index] = NewCollector(CollectorOptions{
		Clock: f.clock, Now: f.now, Synced: func() bool { return true }, Window: testWindow, DueAfter: testDueAfter, Zones: testZoneNames, MergeTime: f.mergeTime, CallsPerStep: testCallsPerStep,
		FetchCopies: func(ctx context.Context) []ZoneCounts {
			resp, _ := f.collectors[1-index].ListCopies(ctx, CopiesRequest{})
			return resp.Zones
		},
		Assigned: func() (int64, bool) { return f.fence, f.holder == index },
		Held:     func() (int64, bool) { return f.fence, f.holder == index && !f.clock.Now().Before(f.callsAllowedAt) }, Update: f.update, Call: f.call,
	})
}

// assignTo assigns the usage part to a collector under the next fence.
func (f *fleet) assignTo(index int) {
	f.holder = index
	f.fence++
	if f.losesDecisions {
		f.loseDecisions()
	}
}

// loseDecisions has the store lose the last two decisions and everything pending.
func (f *fleet) loseDecisions() {
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
	if f.losesStoreResponses && f.random.IntN(3) == 0 {
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
	if first, known := f.platform.firstReports[got.Window]; known && first != string(call.Body) {
		f.platform.conflicts = append(f.platform.conflicts, fmt.Sprintf("%s after %s", call.Body, first))
	} else if !known {
		f.platform.firstReports[got.Window], f.platform.acceptedAt[got.Window] = string(call.Body), f.now()
	}
	if f.platform.losesResponses && f.random.IntN(2) == 0 {
		return 0, errLost
	}
	return 200, nil
}

// step sends random requests, advances the clock by testStep and runs all routers, relays and
// collectors.
func (f *fleet) step(tick int) {
	for index, router := range f.routers {
		if router.down {
			continue
		}
		for range f.random.IntN(4) {
			tenant := ids.Tenant(fmt.Sprintf("t%d", f.random.IntN(3)))
			router.meter.CountRequest(tenant, 0)
			window := int64(f.now() / testWindow)
			if f.requests[window] == nil {
				f.requests[window] = map[ids.Tenant]int64{}
			}
			f.requests[window][tenant]++
		}
		if tick%4 == 0 && !router.partitioned {
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
	report.Router, report.Incarnation = routerAddress(index), router.incarnation
	if resp, err := f.relays[router.zone].ReceiveReport(context.Background(), report); err == nil {
		router.meter.DropDecided(resp.Decided)
	}
}

func (f *fleet) run(length time.Duration) {
	for tick := range int(length / testStep) {
		f.step(tick)
	}
}

// lateOrMiscounted returns an error text for each window from first to last that was reported
// late, not at all, or with a count that differs by more than tolerance requests.
func (f *fleet) lateOrMiscounted(first, last int64, tolerance int64) (wrong []string) {
	for window := first; window <= last; window++ {
		due := time.Duration(window+1)*testWindow + testDueAfter
		if f.platform.acceptedAt[window] > due {
			wrong = append(wrong, fmt.Sprintf("window %d was reported late", window))
		}
	}
	return append(wrong, f.miscounted(first, last, tolerance)...)
}

// miscounted returns an error text for each window from first to last that was not reported,
// or was reported with a count that differs by more than tolerance requests.
func (f *fleet) miscounted(first, last int64, tolerance int64) (wrong []string) {
	for window := first; window <= last; window++ {
		text, reported := f.platform.firstReports[window]
		if !reported {
			wrong = append(wrong, fmt.Sprintf("window %d was not reported", window))
			continue
		}
		var got usageReport
		_ = json.Unmarshal([]byte(text), &got)
		for tenant, count := range f.requests[window] {
			if off := count - got.Counts[tenant]; off > tolerance || off < -tolerance {
				wrong = append(wrong, fmt.Sprintf("window %d, %s: %d reported of %d", window, tenant, got.Counts[tenant], count))
			}
		}
	}
	return wrong
}

// windowsBetween returns the first window that starts after from and the last one that is due
// before to.
func windowsBetween(from, to time.Duration) (first, last int64) {
	return int64(from/testWindow) + 1, int64((to-testDueAfter)/testWindow) - 1
}

// toggleFault causes a fault of the given kind, or starts or ends one.
func (f *fleet) toggleFault(kind int) {
	switch kind {
	case 0:
		f.assignTo(1 - max(0, f.holder))
	case 1:
		f.holder = -1
	case 2:
		index := f.random.IntN(2)
		f.startCollector(index)
		f.assignTo(index)
	case 3:
		f.startRelay(f.random.IntN(testZones))
	case 4:
		f.losesStoreResponses = !f.losesStoreResponses
	case 5:
		f.platform.down, f.platform.losesResponses = f.random.IntN(3) == 0, f.random.IntN(2) == 0
	case 6:
		f.routers[f.random.IntN(testRouters)].partitioned = f.random.IntN(2) == 0
	}
}
