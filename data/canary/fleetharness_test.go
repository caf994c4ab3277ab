package canary

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/rollout"
	"onyxwell/data/snapshot"
)

const (
	fleetService   ids.Service = "readers"
	zoneCount                  = 6
	routersPerZone             = 4
	runnersPerZone             = 3
	directorCount              = 2
	tickInterval               = 20 * time.Millisecond
	defaultTerm                = 16 * time.Second
	oldVersion                 = `"v1"`
	newVersion                 = `"v2"`
	// rejectedVersion was reverted before the rollout began.
	rejectedVersion = `"v0"`
	// defaultRouterRate is how many requests a second each router gets.
	defaultRouterRate = 25
	// defaultSlowRequest is the duration of one request in a hundred.
	defaultSlowRequest = 3 * time.Second
	// runnerSlots is the capacity that a runner reports: how many requests it runs at once.
	runnerSlots = 8
)

// fleetLayout describes the size and load of a fleet and the timing of its rollout.
type fleetLayout struct {
	// term is the time that the order gives the rollout. Runners of the target version are
	// listed startDelay after the order. One request in a hundred takes slowRequest.
	term, startDelay, slowRequest time.Duration
	// warmUp is how long requests are sent before the order.
	warmUp time.Duration
	// runners is the number of runners of each version, routerRate the number of requests a
	// second that each router gets.
	runners    int
	routerRate float64
	// rejectedRunners is the number of runners per zone of the rejected version, which stay
	// listed during the rollout.
	rejectedRunners int
}

// defaultLayout is the layout of tests that don't set their own.
var defaultLayout = fleetLayout{
	term: defaultTerm, startDelay: 2 * time.Second, slowRequest: defaultSlowRequest, runners: zoneCount * runnersPerZone, routerRate: defaultRouterRate,
}

// runnersIn returns how many runners of each version a zone has.
func (l fleetLayout) runnersIn(zone int) int {
	count := l.runners / zoneCount
	if zone < l.runners%zoneCount {
		count++
	}
	return count
}

var errUnreachable = errors.New("unreachable")

var fleetRoutes = []string{"short", "short", "short", "short", "long"}

// zoneName returns the name of a zone; regionOf that of its region, two zones each.
func zoneName(zone int) ids.Zone { return ids.Zone(fmt.Sprintf("zone-%d", zone)) }

func regionOf(zone int) ids.Region { return ids.Region(fmt.Sprintf("region-%d", zone/2)) }

// fleet simulates routers with their gates, one relay per zone, and two directors that share a
// register, on one fake clock. Calls are direct function calls, which fail across a partition.
type fleet struct {
	t         *testing.T
	clock     *clock.Fake
	random    *rand.Rand
	policy    rollout.Policy
	layout    fleetLayout
	registers map[string][]byte
	directors [directorCount]*fleetDirector
	leader    int
	epoch     int64
	relays    [zoneCount]*rollout.Relay
	routers   []*fleetRouter
	zones     map[ids.Zone]ids.Region
	// partitioned zones can't reach any other zone, and get no updates.
	partitioned [zoneCount]bool
	// defect is how the target version misbehaves; nil means not at all. targetListedAt is when
	// its runners are listed.
	defect         func(route string, sinceOrder time.Duration) (failureRate float64, slowdown float64)
	targetListedAt clock.Instant
	// defectAboveInFlight limits the defect to runners with more requests in flight than this;
	// 0 means all runners. inFlight counts the requests in flight by runner.
	defectAboveInFlight int
	inFlight            map[ids.RunnerID]int
	orderedAt           clock.Instant
	// target is the version that is ordered.
	target  string
	running []runningRequest
	oracle  oracle
	// dropsWrites, alwaysConfirms and permitsNeverExpire inject faults into the register, the
	// routers' reports and the permits.
	dropsWrites, alwaysConfirms, permitsNeverExpire bool
}

type fleetDirector struct {
	*rollout.Director
	updates *gossip.Store
}

type fleetRouter struct {
	zone  int
	gate  *Gate
	store *snapshot.Store
	// knowsTarget is true once this router has the list with the target version's runners.
	knowsTarget bool
	// partitionedSince is when the router's zone was partitioned, 0 if the router is connected.
	partitionedSince clock.Instant
}

type runningRequest struct {
	endsAt  clock.Instant
	router  *fleetRouter
	runner  *snapshot.Runner
	attempt Attempt
}

func newFleet(t *testing.T, seed uint64) *fleet {
	t.Helper()
	return newFleetWithLayout(t, seed, defaultLayout)
}

func newFleetWithLayout(t *testing.T, seed uint64, layout fleetLayout) *fleet {
	t.Helper()
	f := &fleet{
		t: t, layout: layout, registers: map[string][]byte{}, clock: clock.NewFake(), random: rand.New(rand.NewPCG(seed, 7)), zones: map[ids.Zone]ids.Region{}, inFlight: map[ids.RunnerID]int{}, epoch: 1, target: newVersion,
		policy: rollout.Policy{ExposureShare: 0.1, ExposureSlack: 50, PermitTTL: 1250 * time.Millisecond, ExchangeInterval: 250 * time.Millisecond,
			LatchTime: 3750 * time.Millisecond, SilenceLimit: 5 * time.Second},
	}
	for zone := range zoneCount {
		f.zones[zoneName(zone)] = regionOf(zone)
	}
	for number := range directorCount {
		f.addDirector(number)
	}
	for zone := range zoneCount {
		f.relays[zone] = rollout.NewRelay(rollout.RelayOptions{
			Clock: f.clock, Address: ids.Address(fmt.Sprintf("relay-%d", zone)), Zone: zoneName(zone), Policy: f.policy,
			Routers: func() []ids.Address { return f.routerAddresses(zone) }, Send: f.sender(zone),
		})
		for number := range routersPerZone {
			f.addRouter(zone, number)
		}
	}
	f.orderedAt = f.clock.Now()
	f.targetListedAt = f.orderedAt.Add(layout.startDelay)
	return f
}

func (f *fleet) addDirector(number int) {
	updates := gossip.NewStore(func(gossip.Item) {})
	f.directors[number] = &fleetDirector{updates: updates, Director: rollout.NewDirector(rollout.DirectorOptions{
		Clock: f.clock, Address: ids.Address(fmt.Sprintf("director-%d", number)), Policy: f.policy, Zones: f.zones,
		Held:    func(clock.Instant) (int64, bool) { return f.epoch, f.leader == number },
		Updates: updates, Runners: func(ids.Service) []rollout.Runner { return f.listedRunners() },
		HasRouters: func(ids.Zone) bool { return true },
		Update: func(_ context.Context, key string, update func([]byte) ([]byte, error)) ([]byte, error) {
			return f.updateRegister(key, update)
		},
	})}
}

func (f *fleet) addRouter(zone, number int) {
	router := &fleetRouter{zone: zone, store: snapshot.NewStore(snapshot.Options{Clock: f.clock, Zones: f.zones, Region: regionOf(zone), TracksVersions: true})}
	address := ids.Address(fmt.Sprintf("router-%d-%d", zone, number))
	router.gate = New(Options{
		Clock: f.clock, Policy: f.policy, Snapshots: router.store, Region: regionOf(zone), Random: f.random.Float64,
		Exchange: func(ctx context.Context, req rollout.ExchangeRequest) (rollout.ExchangeResponse, error) {
			req.From, req.Zone = address, zoneName(zone)
			if f.alwaysConfirms {
				for index := range req.Services {
					req.Services[index].Unconfirmed = 0
				}
			}
			resp, err := f.relays[zone].Exchange(ctx, req)
			if f.permitsNeverExpire {
				for index := range resp.Permits {
					resp.Permits[index].TTLMS = time.Hour.Milliseconds()
				}
			}
			return resp, err
		},
	})
	router.store.ApplyRunners(f.runnerList(false))
	f.routers = append(f.routers, router)
}

func (f *fleet) routerAddresses(zone int) []ids.Address {
	var addresses []ids.Address
	for number := range routersPerZone {
		addresses = append(addresses, ids.Address(fmt.Sprintf("router-%d-%d", zone, number)))
	}
	return addresses
}

// sender returns the function by which the relay of a zone reaches the current director. It
// fails if the zone is partitioned, and for 2% of the messages.
func (f *fleet) sender(zone int) func(context.Context, rollout.ExchangeRequest) (rollout.ExchangeResponse, error) {
	return func(_ context.Context, req rollout.ExchangeRequest) (rollout.ExchangeResponse, error) {
		if f.partitioned[zone] || f.random.Float64() < 0.02 {
			return rollout.ExchangeResponse{}, errUnreachable
		}
		return f.directors[f.leader].Exchange(req, f.clock.Now()), nil
	}
}

// updateRegister applies an update to a register. What is stored reaches the others by
// deliverGossip.
func (f *fleet) updateRegister(key string, update func([]byte) ([]byte, error)) ([]byte, error) {
	next, err := update(f.registers[key])
	if err != nil {
		return nil, err
	}
	if next != nil && !f.dropsWrites {
		f.registers[key] = next
		f.checkRecord()
	}
	if next == nil {
		return f.registers[key], nil
	}
	return next, nil
}

func (f *fleet) record() rollout.Record {
	record, err := rollout.Decode(fleetService, f.registers[rollout.Key(fleetService)])
	if err != nil {
		f.t.Fatal(err)
	}
	return record
}

func (f *fleet) startRollout() {
	if f.layout.rejectedRunners > 0 {
		f.storeRevertedRollout()
	}
	if _, err := f.updateRegister(rollout.Key(fleetService), rollout.Begin(rollout.Order{Service: fleetService, Target: f.target, TermMS: f.layout.term.Milliseconds()})); err != nil {
		f.t.Fatal(err)
	}
}

// storeRevertedRollout stores the record of a former rollout, which was reverted, and delivers
// it to all.
func (f *fleet) storeRevertedRollout() {
	updates := []func([]byte) ([]byte, error){
		rollout.Begin(rollout.Order{Service: fleetService, Target: rejectedVersion, TermMS: f.layout.term.Milliseconds()}),
		rollout.Transition{Service: fleetService, Order: 1, Epoch: f.epoch, To: rollout.Reverted}.Apply(),
	}
	for _, update := range updates {
		value, err := update(f.registers[rollout.Key(fleetService)])
		if err != nil {
			f.t.Fatal(err)
		}
		f.registers[rollout.Key(fleetService)] = value
	}
	item := f.recordItem()
	for _, director := range f.directors {
		director.updates.Put(item)
	}
	for _, router := range f.routers {
		router.store.Apply(item)
	}
	f.directors[f.leader].Step(f.t.Context())
	f.oracle = oracle{}
}

// recordItem returns the gossip item of the stored record.
func (f *fleet) recordItem() gossip.Item {
	return gossip.Item{Key: rollout.Key(fleetService), Version: f.record().Version, Body: f.registers[rollout.Key(fleetService)]}
}

// stableItem returns the gossip item of the stored stable version; ok is false if none is stored.
func (f *fleet) stableItem() (item gossip.Item, ok bool) {
	body := f.registers[rollout.StableKey(fleetService)]
	stored, err := rollout.DecodeStable(fleetService, body)
	if err != nil {
		f.t.Fatal(err)
	}
	return gossip.Item{Key: rollout.StableKey(fleetService), Version: stored.Version, Body: body}, stored.Version > 0
}

// deliverGossip delivers the records to all directors. Each router that is not partitioned gets
// the records and the list of runners with a probability of 1 in 5.
func (f *fleet) deliverGossip() {
	if f.record().Order == 0 {
		return
	}
	items := []gossip.Item{f.recordItem()}
	if item, ok := f.stableItem(); ok {
		items = append(items, item)
	}
	for _, director := range f.directors {
		for _, item := range items {
			director.updates.Put(item)
		}
	}
	for _, router := range f.routers {
		if f.partitioned[router.zone] || f.random.IntN(5) > 0 {
			continue
		}
		for _, item := range items {
			router.store.Apply(item)
		}
		if !router.knowsTarget && !f.clock.Now().Before(f.targetListedAt) {
			router.knowsTarget = true
			router.store.ApplyRunners(f.runnerList(true))
		}
	}
}

func (f *fleet) runnerList(withTarget bool) discovery.List {
	var list discovery.List
	for zone := range zoneCount {
		for number := range f.layout.rejectedRunners {
			list.Runners = append(list.Runners, discovery.Runner{
				ID: ids.RunnerID(fmt.Sprintf("rejected-%d-%d", zone, number)), Service: fleetService, Zone: zoneName(zone), Version: rejectedVersion, Capacity: runnerSlots})
		}
		for number := range f.layout.runnersIn(zone) {
			list.Runners = append(list.Runners, discovery.Runner{
				ID: ids.RunnerID(fmt.Sprintf("old-%d-%d", zone, number)), Service: fleetService, Zone: zoneName(zone), Version: oldVersion, Capacity: runnerSlots})
			if withTarget {
				list.Runners = append(list.Runners, discovery.Runner{
					ID: ids.RunnerID(fmt.Sprintf("new-%d-%d", zone, number)), Service: fleetService, Zone: zoneName(zone), Version: newVersion, Capacity: runnerSlots})
			}
		}
	}
	return list
}

func (f *fleet) listedRunners() []rollout.Runner {
	var runners []rollout.Runner
	for _, runner := range f.runnerList(!f.clock.Now().Before(f.targetListedAt)).Runners {
		runners = append(runners, rollout.Runner{ID: runner.ID, Region: f.zones[runner.Zone], Version: runner.Version, Slots: runner.Capacity})
	}
	return runners
}

// tick advances the simulation by one tickInterval.
func (f *fleet) tick(step int) {
	f.clock.Advance(tickInterval)
	now := f.clock.Now()
	f.deliverGossip()
	for index, router := range f.routers {
		due := f.layout.routerRate * tickInterval.Seconds()
		for ; due >= 1; due-- {
			f.sendRequest(router, now)
		}
		if f.random.Float64() < due {
			f.sendRequest(router, now)
		}
		if (step+index)%12 == 0 {
			router.gate.exchange(f.t.Context())
		}
	}
	f.running = slices.DeleteFunc(f.running, func(request runningRequest) bool {
		if now.Before(request.endsAt) {
			return false
		}
		f.endRequest(request)
		return true
	})
	for zone, relay := range f.relays {
		if (step+zone)%12 == 0 {
			relay.Forward(f.t.Context())
		}
	}
	if step%6 == 0 {
		for _, director := range f.directors {
			director.Step(f.t.Context())
		}
	}
}

// sendRequest sends a request from a router to a random runner that its gate allows.
func (f *fleet) sendRequest(router *fleetRouter, now clock.Instant) {
	route := fleetRoutes[f.random.IntN(len(fleetRoutes))]
	arm := router.gate.Assign(fleetService, route)
	snap := router.store.Current()
	filter := router.gate.Filter(snap, fleetService, arm, now)
	var allowed []*snapshot.Runner
	for _, runner := range snap.Runners[fleetService] {
		if filter.Allows(runner) {
			allowed = append(allowed, runner)
		}
	}
	if len(allowed) == 0 {
		f.recordViolation("router of zone %d finds no allowed runner", router.zone)
		return
	}
	runner := allowed[f.random.IntN(len(allowed))]
	if !router.gate.Begin(fleetService, runner, filter.Arm, now) {
		return
	}
	duration := time.Duration((0.6 + 0.8*f.random.Float64()) * float64(400*time.Millisecond))
	if f.random.IntN(100) == 0 {
		duration = f.layout.slowRequest
	}
	attempt := Attempt{Service: fleetService, Route: route, Runner: runner, Arm: filter.Arm, FirstByte: duration / 5, Total: duration}
	f.inFlight[runner.ID]++
	if f.defect != nil && runner.Version == newVersion && f.inFlight[runner.ID] > f.defectAboveInFlight {
		failureRate, slowdown := f.defect(route, now.Since(f.orderedAt))
		attempt.Failed = f.random.Float64() < failureRate
		attempt.FirstByte, attempt.Total = time.Duration(slowdown*float64(duration/5)), time.Duration(slowdown*float64(duration))
		if attempt.Failed {
			attempt.FirstByte, attempt.Total = 0, 0
		}
	}
	f.checkRequest(router, runner, now)
	f.running = append(f.running, runningRequest{endsAt: now.Add(max(attempt.Total, 50*time.Millisecond)), router: router, runner: runner, attempt: attempt})
}

func (f *fleet) endRequest(request runningRequest) {
	f.inFlight[request.runner.ID]--
	request.router.gate.Observe(request.attempt)
	request.router.gate.End(fleetService, request.runner)
	if request.attempt.Failed || request.attempt.FirstByte > 400*time.Millisecond {
		if f.oracle.badResponses++; f.oracle.badResponses == 50 {
			f.oracle.fiftiethBadAt = f.clock.Now()
		}
	}
}

// setPartitioned partitions a zone, or ends its partition. Its routers count as disconnected
// until markReconnected.
func (f *fleet) setPartitioned(zone int, partitioned bool) {
	f.partitioned[zone] = partitioned
	for _, router := range f.routers {
		if router.zone == zone && partitioned {
			router.partitionedSince = f.clock.Now()
		}
	}
}

// markReconnected marks the routers of a zone as connected again after a partition.
func (f *fleet) markReconnected(zone int) {
	for _, router := range f.routers {
		if router.zone == zone {
			router.partitionedSince = 0
		}
	}
}

// takeOver lets the other director acquire the lease.
func (f *fleet) takeOver() {
	f.leader = (f.leader + 1) % directorCount
	f.epoch++
}
