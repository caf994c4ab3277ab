// Package snapshot holds what a router acts on: one immutable snapshot of spec,
// runners, evacuations and plan, swapped whole; the serial of each part only
// rises.
package snapshot

import (
	"strings"
	"sync"
	"sync/atomic"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/courier"
	"onyxwell/control/discovery"
	"onyxwell/control/evacuation"
	"onyxwell/control/lengths"
	"onyxwell/control/scaler"
	"onyxwell/control/spec"
	"onyxwell/control/spread"
)

// Runner is a listed runner with the region that it stands in.
type Runner struct {
	discovery.Runner
	Region ids.Region
}

// Snapshot is the state of everything at one moment; it is never changed.
type Snapshot struct {
	Spec     *spec.Spec
	Runners  map[ids.Service][]*Runner
	Census   clock.Instant
	Listed   ids.Serial
	Empty    map[ids.Zone]bool
	Refilled map[ids.Zone]clock.Instant
	Plan     scaler.Plan
	Planned  map[ids.RunnerID]scaler.RunnerPlan
	// Resting are runners that failed the zone's requests, each until when.
	Resting map[ids.RunnerID]clock.Instant
	// Lengths are how long answers take in this region.
	Lengths *lengths.Table
}

// Options are what a frame is made from.
type Options struct {
	Clock clock.Clock
	Zones map[ids.Zone]ids.Region
	// Region is the router's own.
	Region ids.Region
	// Listed is told each new list, before it is acted on.
	Listed func(seen *Snapshot)
	// Monitor may be left out.
	Monitor *invariant.Monitor
}

// Frame holds the snapshot of now.
type Frame struct {
	options Options
	lock    sync.Mutex
	now     atomic.Pointer[Snapshot]
	ready   chan struct{}
	once    sync.Once
}

// NewFrame makes a frame with an empty snapshot.
//
// Example:
//
//	frame := snapshot.NewFrame(snapshot.Options{Clock: top.Clock, Zones: top.Boot.Zones})
func NewFrame(options Options) *Frame {
	if options.Listed == nil {
		options.Listed = func(*Snapshot) {}
	}
	frame := &Frame{options: options, ready: make(chan struct{})}
	frame.now.Store(&Snapshot{})
	return frame
}

// Now gives the snapshot of now.
//
// Example:
//
//	seen := frame.Now()
func (frame *Frame) Now() *Snapshot { return frame.now.Load() }

// Ready is closed once a spec and a list of runners are known.
//
// Example:
//
//	<-frame.Ready()
func (frame *Frame) Ready() <-chan struct{} { return frame.ready }

// Absorb takes an item of news; the news store calls it in rising order of
// serials.
//
// Example:
//
//	news := spread.NewNews(frame.Absorb)
func (frame *Frame) Absorb(item spread.Item) {
	if absorb := absorbers[item.Key]; absorb != nil {
		frame.swap(func(next *Snapshot) bool { return absorb(frame, next, item) })
		return
	}
	if strings.HasPrefix(item.Key, spread.ZonePrefix) {
		frame.swap(func(next *Snapshot) bool { return frame.absorbRests(next, item.Body) })
		return
	}
	if zone, found := evacuation.ZoneOf(item.Key); found {
		frame.swap(func(next *Snapshot) bool { return frame.absorbZone(next, zone, item.Body) })
	}
}

// Take takes a list that this router asked for itself.
//
// Example:
//
//	frame.Take(list)
func (frame *Frame) Take(list discovery.List) {
	frame.swap(func(next *Snapshot) bool {
		frame.list(next, list)
		next.Listed = 0
		return true
	})
}

var absorbers = map[string]func(*Frame, *Snapshot, spread.Item) bool{
	spec.Key: func(frame *Frame, next *Snapshot, item spread.Item) bool {
		read, err := spec.Read(item.Body)
		if err != nil || (next.Spec != nil && read.Serial <= next.Spec.Serial) {
			return false
		}
		next.Spec = read
		return true
	},
	discovery.Key: func(frame *Frame, next *Snapshot, item spread.Item) bool {
		list, err := courier.Unpack[discovery.List](item.Body)
		if err == nil {
			frame.list(next, list)
			next.Listed = item.Serial
		}
		return err == nil
	},
	discovery.BeatKey: func(frame *Frame, next *Snapshot, item spread.Item) bool {
		beat, err := courier.Unpack[discovery.Beat](item.Body)
		if err != nil || next.Listed != beat.List {
			return false
		}
		next.Census = frame.options.Clock.Now()
		return true
	},
	scaler.Key: func(frame *Frame, next *Snapshot, item spread.Item) bool {
		plan, err := scaler.ReadPlan(item.Body)
		if err != nil {
			return false
		}
		next.Plan, next.Planned = plan, map[ids.RunnerID]scaler.RunnerPlan{}
		for _, planned := range plan.Runners {
			next.Planned[planned.Runner] = planned
		}
		next.Lengths = nil
		for _, learnt := range plan.Lengths {
			if learnt.Region == frame.options.Region {
				next.Lengths = lengths.NewTable(learnt.Expected, learnt.Splits)
			}
		}
		return true
	},
}

func (frame *Frame) list(next *Snapshot, list discovery.List) {
	next.Census = frame.options.Clock.Now()
	next.Runners = map[ids.Service][]*Runner{}
	for _, listed := range list.Runners {
		runner := &Runner{Runner: listed, Region: frame.options.Zones[listed.Zone]}
		next.Runners[listed.Service] = append(next.Runners[listed.Service], runner)
	}
	frame.options.Listed(next)
}

func (frame *Frame) absorbZone(next *Snapshot, zone ids.Zone, body []byte) bool {
	kept, err := evacuation.Read(body)
	if err != nil {
		return false
	}
	empty, refilled := map[ids.Zone]bool{}, map[ids.Zone]clock.Instant{}
	for name, value := range next.Empty {
		empty[name] = value
	}
	for name, when := range next.Refilled {
		refilled[name] = when
	}
	if empty[zone] && !kept.Empty {
		refilled[zone] = frame.options.Clock.Now()
	}
	empty[zone] = kept.Empty
	next.Empty, next.Refilled = empty, refilled
	return true
}

func (frame *Frame) swap(change func(next *Snapshot) bool) {
	frame.lock.Lock()
	defer frame.lock.Unlock()
	next := *frame.now.Load()
	if !change(&next) {
		return
	}
	if before := frame.now.Load().Spec; before != nil && next.Spec.Serial < before.Serial {
		frame.options.Monitor.Violated(invariant.VersionRises, "version %d after %d", next.Spec.Serial, before.Serial)
	}
	frame.now.Store(&next)
	if next.Spec != nil && next.Runners != nil {
		frame.once.Do(func() { close(frame.ready) })
	}
}
