package simulation

import (
	"net/http"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/config/evacuation"
)

// mostUnderWay is how many orders an operator has under way at most.
const mostUnderWay = 8

// known is what the operators know together of the configuration.
type known struct {
	version int64
	taken   []order
}

// operate has an operator give orders until the run ends.
func (w *World) operate(who string) {
	under := make(chan struct{}, mostUnderWay)
	for !w.ending {
		pause := w.between("order "+who, 20*clock.Millisecond, 600*clock.Millisecond)
		if w.hurry {
			pause /= 8
		}
		w.sleep(pause)
		if w.ending {
			return
		}
		under <- struct{}{}
		work := w.chooseWork(who)
		go func() {
			work(w, who)
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

func (w *World) chooseWork(who string) func(*World, string) {
	drawn := w.below("work "+who, 100)
	for _, choice := range works {
		if drawn -= choice.share; drawn < 0 {
			return choice.work
		}
	}
	return works[0].work
}

func (w *World) newest() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known.version
}

// learn notes a version that is surely in force or was.
func (w *World) learn(version int64, by *order) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.known.version = max(w.known.version, version)
	if by != nil {
		w.known.taken = append(w.known.taken, *by)
	}
}

func (w *World) readAndLearn() {
	if version, found := w.readSettings(6 * clock.Second); found {
		w.learn(version, nil)
	}
}

// carryOut gives a change and learns from the answer.
func (w *World) carryOut(asked order) outcome {
	did, _ := w.give(asked)
	w.record(did)
	if did.outcome == taken {
		w.acked(did)
		w.learn(did.version, &asked)
	} else {
		w.readAndLearn()
	}
	return did.outcome
}

func (w *World) change(who string, patched bool) {
	match := w.newest()
	if match == 0 {
		patched = false
	}
	w.carryOut(w.put(match, match+1+int64(w.below("step "+who, 3)), patched))
}

// race has two operators choose the same number for different changes.
func (w *World) race(who string) {
	match := w.newest()
	version := match + 1 + int64(w.below("step "+who, 2))
	done := make(chan struct{})
	go func() {
		w.carryOut(w.put(match, version, false))
		close(done)
	}()
	w.sleep(w.between("race "+who, 0, 30*clock.Millisecond))
	w.carryOut(w.put(match, version, false))
	<-done
}

// stale builds on a version that is no longer in force.
func (w *World) stale(who string) {
	match := w.newest() - 1 - int64(w.below("stale "+who, 4))
	if match < 0 {
		return
	}
	asked := w.put(match, match+1+int64(w.below("ahead "+who, 8)), false)
	asked.patience = 6 * clock.Second
	w.carryOut(asked)
}

// repeat sends an order again that was taken, however long ago: it is taken
// again or left without a clear answer.
func (w *World) repeat(who string) {
	w.mu.Lock()
	taken := w.known.taken
	w.mu.Unlock()
	if len(taken) == 0 {
		return
	}
	asked := taken[w.below("repeat "+who, len(taken))]
	targets := w.controllers()
	if len(targets) == 0 {
		return
	}
	status, body := w.send(targets[w.below("target "+who, len(targets))], asked, &sending{begin: w.now()})
	w.count("repeats")
	if ending[status] == refused {
		w.violate("order %d (version %d on %d) was acknowledged, and is refused when it is sent again: %d %.200s", asked.order, asked.version, asked.match, status, body)
	}
	if status == http.StatusOK {
		w.count("repeats acknowledged")
	}
}

func (w *World) empty(who string) {
	places := w.options.Site.Places
	asked := w.zone(places[w.below("zone "+who, len(places))].Zone, w.once("empty "+who, 2))
	did, _ := w.give(asked)
	w.record(did)
	if did.outcome == taken {
		w.acked(did)
	}
}

// lookAtZone reads whether a zone is emptied, at any controller.
func (w *World) lookAtZone(who string) {
	places, targets := w.options.Site.Places, w.controllers()
	if len(targets) == 0 {
		return
	}
	zone := places[w.below("zone "+who, len(places))].Zone
	w.lookAt(targets[w.below("target "+who, len(targets))], zone)
}

// lookAt reads whether a zone is emptied at a controller.
func (w *World) lookAt(target *Machine, zone ids.Zone) {
	if target.life == nil || target.life.control == nil || target.frozen {
		return
	}
	did := act{order: w.number(), key: "evacuation/" + string(zone), verb: "look", begin: w.now()}
	ctx := scope.New(scope.Options{Clock: steady{machine: target}})
	limited, release := ctx.WithTimeout(clock.Second)
	defer release()
	value, err := target.life.control.Read(limited, evacuation.Key(zone))
	did.end = w.now()
	if err == nil {
		kept, err := evacuation.Decode(value)
		if err != nil {
			w.violate("the value of %s can't be read: %v", zone, err)
		}
		did.empty, did.outcome = kept.Drained, taken
	}
	w.record(did)
}
