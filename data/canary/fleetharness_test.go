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
	fleetZones                 = 6
	routersPerZone             = 4
	runnersPerZone             = 3
	directors                  = 2
	fleetTick                  = 20 * time.Millisecond
	fleetTerm                  = 16 * time.Second
	oldVersion                 = `"v1"`
	newVersion                 = `"v2"`
	// requestsPerS is what each router gets.
	requestsPerS = 25
	// slowRequest is how long one request in a hundred takes.
	slowRequest = 3 * time.Second
	// fleetSlots is how many requests a runner says that it runs at once.
	fleetSlots = 8
)

// fleetLayout is what a fleet is made of, and how long its rollout may take.
type fleetLayout struct {
	term, startsAfter, slowRequest time.Duration
	// warmUp is for how long there are requests before the order.
	warmUp time.Duration
	// runners are those of each version, routerPerS the requests that each router gets.
	runners    int
	routerPerS float64
}

// usualLayout is that of all tests which say nothing else.
var usualLayout = fleetLayout{
	term: fleetTerm, startsAfter: 2 * time.Second, slowRequest: slowRequest, runners: fleetZones * runnersPerZone, routerPerS: requestsPerS,
}

// runnersIn returns how many runners of each version a zone has.
func (l fleetLayout) runnersIn(zone int) int {
	count := l.runners / fleetZones
	if zone < l.runners%fleetZones {
		count++
	}
	return count
}

var errUnreachable = errors.New("unreachable")

var fleetRoutes = []string{"short", "short", "short", "short", "long"}

// zoneName and regionOf lay the zones out, two to a region.
func zoneName(zone int) ids.Zone { return ids.Zone(fmt.Sprintf("zone-%d", zone)) }

func regionOf(zone int) ids.Region { return ids.Region(fmt.Sprintf("region-%d", zone/2)) }

// fleet is routers with their gates, a relay a zone and two directors over one register, on
// one fake clock. Calls are made in place; a cut fails them.
type fleet struct {
	t         *testing.T
	clock     *clock.Fake
	random    *rand.Rand
	policy    rollout.Policy
	layout    fleetLayout
	registers map[string][]byte
	directors [directors]*fleetDirector
	leader    int
	epoch     int64
	relays    [fleetZones]*rollout.Relay
	routers   []*fleetRouter
	zones     map[ids.Zone]ids.Region
	// cut zones reach nobody else, and get no updates.
	cut [fleetZones]bool
	// bad is how the target version fails, nil is not at all; startsAt is when its runners are
	// listed.
	bad      func(route string, sinceOrder time.Duration) (fails float64, slower float64)
	startsAt clock.Instant
	// badAbove has the target version be bad only at runners with more requests in flight than
	// that; 0 is at all. inFlight counts them.
	badAbove int
	inFlight map[ids.RunnerID]int
	ordered  clock.Instant
	ends     []endingRequest
	judge    oracle
	// forgetsWrites, confirmsAlways and permitsForever plant faults.
	forgetsWrites, confirmsAlways, permitsForever bool
}

type fleetDirector struct {
	*rollout.Director
	updates *gossip.Store
}

type fleetRouter struct {
	zone  int
	gate  *Gate
	store *snapshot.Store
	// listed says that this router knows the target version's runners.
	listed bool
	// cutSince is when the router's zone was cut off, 0 if it is not.
	cutSince clock.Instant
}

type endingRequest struct {
	at      clock.Instant
	router  *fleetRouter
	runner  *snapshot.Runner
	attempt Attempt
}

// oracle judges what runners and operators see.
type oracle struct {
	// requests and exposed count those of routers in touch, until the term.
	requests, exposed float64
	badAnswers        int
	fiftiethBadAt     clock.Instant
	condition         rollout.Condition
	conditionAt       clock.Instant
	violations        []string
}

func newFleet(t *testing.T, seed uint64) *fleet {
	t.Helper()
	return newFleetOf(t, seed, usualLayout)
}

func newFleetOf(t *testing.T, seed uint64, layout fleetLayout) *fleet {
	t.Helper()
	f := &fleet{
		t: t, layout: layout, registers: map[string][]byte{}, clock: clock.NewFake(), random: rand.New(rand.NewPCG(seed, 7)), zones: map[ids.Zone]ids.Region{}, inFlight: map[ids.RunnerID]int{}, epoch: 1,
		policy: rollout.Policy{ExposureShare: 0.1, ExposureSlack: 50, PermitTTL: 1250 * time.Millisecond, ExchangeInterval: 250 * time.Millisecond,
			LatchTime: 3750 * time.Millisecond, SilenceLimit: 5 * time.Second},
	}
	for zone := range fleetZones {
		f.zones[zoneName(zone)] = regionOf(zone)
	}
	for number := range directors {
		f.addDirector(number)
	}
	for zone := range fleetZones {
		f.relays[zone] = rollout.NewRelay(rollout.RelayOptions{
			Clock: f.clock, Address: ids.Address(fmt.Sprintf("relay-%d", zone)), Zone: zoneName(zone), Policy: f.policy,
			Routers: func() []ids.Address { return f.routerAddresses(zone) }, Send: f.sender(zone),
		})
		for number := range routersPerZone {
			f.addRouter(zone, number)
		}
	}
	f.ordered = f.clock.Now()
	f.startsAt = f.ordered.Add(layout.startsAfter)
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
			return f.write(key, update)
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
			if f.confirmsAlways {
				for index := range req.Services {
					req.Services[index].Unconfirmed = 0
				}
			}
			resp, err := f.relays[zone].Exchange(ctx, req)
			if f.permitsForever {
				for index := range resp.Permits {
					resp.Permits[index].TTLMS = time.Hour.Milliseconds()
				}
			}
			return resp, err
		},
	})
	router.store.ApplyRunners(f.runners(false))
	f.routers = append(f.routers, router)
}

func (f *fleet) routerAddresses(zone int) []ids.Address {
	var addresses []ids.Address
	for number := range routersPerZone {
		addresses = append(addresses, ids.Address(fmt.Sprintf("router-%d-%d", zone, number)))
	}
	return addresses
}

// sender reaches the present director, unless the zone is cut off or the message is lost.
func (f *fleet) sender(zone int) func(context.Context, rollout.ExchangeRequest) (rollout.ExchangeResponse, error) {
	return func(_ context.Context, req rollout.ExchangeRequest) (rollout.ExchangeResponse, error) {
		if f.cut[zone] || f.random.Float64() < 0.02 {
			return rollout.ExchangeResponse{}, errUnreachable
		}
		return f.directors[f.leader].Exchange(req, f.clock.Now()), nil
	}
}

// write is the register: a record that is stored reaches all that are not cut off.
func (f *fleet) write(key string, update func([]byte) ([]byte, error)) ([]byte, error) {
	next, err := update(f.registers[key])
	if err != nil {
		return nil, err
	}
	if next != nil && !f.forgetsWrites {
		f.registers[key] = next
		f.observeRecord()
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

func (f *fleet) order() {
	if _, err := f.write(rollout.Key(fleetService), rollout.Begin(rollout.Order{Service: fleetService, Target: newVersion, TermMS: f.layout.term.Milliseconds()})); err != nil {
		f.t.Fatal(err)
	}
}

// gossip brings the record, and the list, to who can be reached, each tick to some of them.
func (f *fleet) gossip() {
	record := f.record()
	if record.Order == 0 {
		return
	}
	item := gossip.Item{Key: rollout.Key(fleetService), Version: record.Version, Body: f.registers[rollout.Key(fleetService)]}
	for _, director := range f.directors {
		director.updates.Put(item)
	}
	for _, router := range f.routers {
		if f.cut[router.zone] || f.random.IntN(5) > 0 {
			continue
		}
		router.store.Apply(item)
		if !router.listed && !f.clock.Now().Before(f.startsAt) {
			router.listed = true
			router.store.ApplyRunners(f.runners(true))
		}
	}
}

func (f *fleet) runners(withTarget bool) discovery.List {
	var list discovery.List
	for zone := range fleetZones {
		for number := range f.layout.runnersIn(zone) {
			list.Runners = append(list.Runners, discovery.Runner{
				ID: ids.RunnerID(fmt.Sprintf("old-%d-%d", zone, number)), Service: fleetService, Zone: zoneName(zone), Version: oldVersion, Capacity: fleetSlots})
			if withTarget {
				list.Runners = append(list.Runners, discovery.Runner{
					ID: ids.RunnerID(fmt.Sprintf("new-%d-%d", zone, number)), Service: fleetService, Zone: zoneName(zone), Version: newVersion, Capacity: fleetSlots})
			}
		}
	}
	return list
}

func (f *fleet) listedRunners() []rollout.Runner {
	var runners []rollout.Runner
	for _, runner := range f.runners(!f.clock.Now().Before(f.startsAt)).Runners {
		runners = append(runners, rollout.Runner{ID: runner.ID, Region: f.zones[runner.Zone], Version: runner.Version, Slots: runner.Capacity})
	}
	return runners
}

// tick plays one step of time.
func (f *fleet) tick(number int) {
	f.clock.Advance(fleetTick)
	now := f.clock.Now()
	f.gossip()
	for index, router := range f.routers {
		due := f.layout.routerPerS * fleetTick.Seconds()
		for ; due >= 1; due-- {
			f.send(router, now)
		}
		if f.random.Float64() < due {
			f.send(router, now)
		}
		if (number+index)%12 == 0 {
			router.gate.exchange(f.t.Context())
		}
	}
	f.ends = slices.DeleteFunc(f.ends, func(ending endingRequest) bool {
		if now.Before(ending.at) {
			return false
		}
		f.end(ending)
		return true
	})
	for zone, relay := range f.relays {
		if (number+zone)%12 == 0 {
			relay.Forward(f.t.Context())
		}
	}
	if number%6 == 0 {
		for _, director := range f.directors {
			director.Step(f.t.Context())
		}
	}
}

// send has a router send a request to a runner that its gate allows.
func (f *fleet) send(router *fleetRouter, now clock.Instant) {
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
		f.violated("a router of zone %d finds no runner", router.zone)
		return
	}
	runner := allowed[f.random.IntN(len(allowed))]
	if !router.gate.Begin(fleetService, runner, filter.Arm, now) {
		return
	}
	took := time.Duration((0.6 + 0.8*f.random.Float64()) * float64(400*time.Millisecond))
	if f.random.IntN(100) == 0 {
		took = f.layout.slowRequest
	}
	attempt := Attempt{Service: fleetService, Route: route, Runner: runner, Arm: filter.Arm, FirstByte: took / 5, Total: took}
	f.inFlight[runner.ID]++
	if f.bad != nil && runner.Version == newVersion && f.inFlight[runner.ID] > f.badAbove {
		fails, slower := f.bad(route, now.Since(f.ordered))
		attempt.Failed = f.random.Float64() < fails
		attempt.FirstByte, attempt.Total = time.Duration(slower*float64(took/5)), time.Duration(slower*float64(took))
		if attempt.Failed {
			attempt.FirstByte, attempt.Total = 0, 0
		}
	}
	f.observeRequest(router, runner, now)
	f.ends = append(f.ends, endingRequest{at: now.Add(max(attempt.Total, 50*time.Millisecond)), router: router, runner: runner, attempt: attempt})
}

func (f *fleet) end(ending endingRequest) {
	f.inFlight[ending.runner.ID]--
	ending.router.gate.Observe(ending.attempt)
	ending.router.gate.End(fleetService, ending.runner)
	if ending.attempt.Failed || ending.attempt.FirstByte > 400*time.Millisecond {
		if f.judge.badAnswers++; f.judge.badAnswers == 50 {
			f.judge.fiftiethBadAt = f.clock.Now()
		}
	}
}

func (f *fleet) violated(format string, values ...any) {
	f.judge.violations = append(f.judge.violations, fmt.Sprintf("%v: ", f.clock.Now().Since(f.ordered))+fmt.Sprintf(format, values...))
}

// inTouchTime is for how long a zone must not have been cut off for the rules to bind it.
const inTouchTime = 6 * time.Second

// observeRequest judges a request that reaches a runner.
func (f *fleet) observeRequest(router *fleetRouter, runner *snapshot.Runner, now clock.Instant) {
	sinceOrder := now.Since(f.ordered)
	inTouch := router.cutSince == 0
	if sinceOrder <= f.layout.term {
		f.judge.requests++
	}
	if runner.Version == oldVersion {
		if f.judge.condition == rollout.Finished && inTouch {
			f.violated("a request goes to an old runner after the rollout has finished")
		}
		return
	}
	if sinceOrder <= f.layout.term && inTouch {
		f.judge.exposed++
	}
	if f.bad != nil && inTouch && f.judge.fiftiethBadAt > 0 && now.Since(f.judge.fiftiethBadAt) > 5*time.Second {
		f.violated("a request goes to the bad version %v after its 50th bad answer", now.Since(f.judge.fiftiethBadAt))
	}
	lasts := f.policy.PermitTTL
	if t := router.gate.trials[fleetService]; t != nil && t.isFull() {
		lasts += f.policy.LatchTime
	}
	if cutFor := now.Since(router.cutSince); !inTouch && f.cut[router.zone] && cutFor > lasts {
		f.violated("zone %d, cut off for %v, sends to the target version", router.zone, cutFor)
	}
}

// observeRecord judges what the register says: a verdict is for good, and at the end of a
// rollout nothing of a router in touch runs at old runners.
func (f *fleet) observeRecord() {
	condition := rollout.Condition(f.record().Condition)
	last := f.judge.condition
	if condition == last {
		return
	}
	if last == rollout.Finished || last == rollout.Reverted {
		f.violated("%s after %s", condition, last)
	}
	f.judge.condition, f.judge.conditionAt = condition, f.clock.Now()
	if condition != rollout.Finished {
		return
	}
	for _, ending := range f.ends {
		if ending.runner.Version == oldVersion && ending.router.cutSince == 0 {
			f.violated("finished while a request of zone %d runs at an old runner", ending.router.zone)
		}
	}
}

// setCut cuts a zone off, or joins it again; it is in touch some time after.
func (f *fleet) setCut(zone int, cut bool) {
	f.cut[zone] = cut
	for _, router := range f.routers {
		if router.zone == zone && cut {
			router.cutSince = f.clock.Now()
		}
	}
}

// settle ends the time after which a zone that was cut off is in touch again.
func (f *fleet) settle(zone int) {
	for _, router := range f.routers {
		if router.zone == zone {
			router.cutSince = 0
		}
	}
}

// takeOver has the other director get the lease.
func (f *fleet) takeOver() {
	f.leader = (f.leader + 1) % directors
	f.epoch++
}
