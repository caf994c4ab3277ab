package simulation

import (
	"net/http"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/evacuation"
)

// mostUnderWay is how many orders an operator has under way at most.
const mostUnderWay = 8

// known is what the operators know together of the configuration.
type known struct {
	version int64
	taken   []order
}

// operate has an operator give orders until the run ends.
func (world *World) operate(who string) {
	under := make(chan struct{}, mostUnderWay)
	for !world.ending {
		pause := world.between("order "+who, 20*clock.Millisecond, 600*clock.Millisecond)
		if world.hurry {
			pause /= 8
		}
		world.sleep(pause)
		if world.ending {
			return
		}
		under <- struct{}{}
		work := world.chooseWork(who)
		go func() {
			work(world, who)
			<-under
		}()
	}
}

// works are what operators do, with how often of a hundred.
var works = []struct {
	share int
	work  func(world *World, who string)
}{
	{32, func(world *World, who string) { world.change(who, false) }},
	{12, func(world *World, who string) { world.change(who, true) }},
	{10, (*World).race},
	{8, (*World).stale},
	{14, (*World).empty},
	{8, (*World).lookAtZone},
	{8, func(world *World, _ string) { world.readAndLearn() }},
	{8, (*World).repeat},
}

func (world *World) chooseWork(who string) func(*World, string) {
	drawn := world.below("work "+who, 100)
	for _, choice := range works {
		if drawn -= choice.share; drawn < 0 {
			return choice.work
		}
	}
	return works[0].work
}

func (world *World) newest() int64 {
	world.lock.Lock()
	defer world.lock.Unlock()
	return world.known.version
}

// learn notes a version that is surely in force or was.
func (world *World) learn(version int64, by *order) {
	world.lock.Lock()
	defer world.lock.Unlock()
	world.known.version = max(world.known.version, version)
	if by != nil {
		world.known.taken = append(world.known.taken, *by)
	}
}

func (world *World) readAndLearn() {
	if version, found := world.readSettings(6 * clock.Second); found {
		world.learn(version, nil)
	}
}

// carryOut gives a change and learns from the answer.
func (world *World) carryOut(asked order) outcome {
	did, _ := world.give(asked)
	world.record(did)
	if did.outcome == taken {
		world.acked(did)
		world.learn(did.version, &asked)
	} else {
		world.readAndLearn()
	}
	return did.outcome
}

func (world *World) change(who string, patched bool) {
	match := world.newest()
	if match == 0 {
		patched = false
	}
	world.carryOut(world.put(match, match+1+int64(world.below("step "+who, 3)), patched))
}

// race has two operators choose the same number for different changes.
func (world *World) race(who string) {
	match := world.newest()
	version := match + 1 + int64(world.below("step "+who, 2))
	done := make(chan struct{})
	go func() {
		world.carryOut(world.put(match, version, false))
		close(done)
	}()
	world.sleep(world.between("race "+who, 0, 30*clock.Millisecond))
	world.carryOut(world.put(match, version, false))
	<-done
}

// stale builds on a version that is no longer in force.
func (world *World) stale(who string) {
	match := world.newest() - 1 - int64(world.below("stale "+who, 4))
	if match < 0 {
		return
	}
	asked := world.put(match, match+1+int64(world.below("ahead "+who, 8)), false)
	asked.patience = 6 * clock.Second
	world.carryOut(asked)
}

// repeat sends an order again that was taken, however long ago: it is taken
// again or left without a clear answer.
func (world *World) repeat(who string) {
	world.lock.Lock()
	taken := world.known.taken
	world.lock.Unlock()
	if len(taken) == 0 {
		return
	}
	asked := taken[world.below("repeat "+who, len(taken))]
	targets := world.controllers()
	if len(targets) == 0 {
		return
	}
	status, body := world.send(targets[world.below("target "+who, len(targets))], asked, &sending{begin: world.now()})
	world.count("repeats")
	if ending[status] == refused {
		world.violate("order %d (version %d on %d) was acknowledged, and is refused when it is sent again: %d %.200s", asked.order, asked.version, asked.match, status, body)
	}
	if status == http.StatusOK {
		world.count("repeats acknowledged")
	}
}

func (world *World) empty(who string) {
	places := world.options.Site.Places
	asked := world.zone(places[world.below("zone "+who, len(places))].Zone, world.once("empty "+who, 2))
	did, _ := world.give(asked)
	world.record(did)
	if did.outcome == taken {
		world.acked(did)
	}
}

// lookAtZone reads whether a zone is emptied, at any controller.
func (world *World) lookAtZone(who string) {
	places, targets := world.options.Site.Places, world.controllers()
	if len(targets) == 0 {
		return
	}
	zone := places[world.below("zone "+who, len(places))].Zone
	world.lookAt(targets[world.below("target "+who, len(targets))], zone)
}

// lookAt reads whether a zone is emptied at a controller.
func (world *World) lookAt(target *Machine, zone ids.Zone) {
	if target.life == nil || target.life.control == nil || target.frozen {
		return
	}
	did := act{order: world.number(), key: "evacuation/" + string(zone), verb: "look", begin: world.now()}
	inner := scope.New(scope.Options{Clock: steady{machine: target}})
	limited, release := inner.WithLimit(clock.Second)
	defer release()
	value, err := target.life.control.Read(limited, evacuation.Key(zone))
	did.end = world.now()
	if err == nil {
		kept, err := evacuation.Read(value)
		if err != nil {
			world.violate("the value of %s can't be read: %v", zone, err)
		}
		did.empty, did.outcome = kept.Empty, taken
	}
	world.record(did)
}
