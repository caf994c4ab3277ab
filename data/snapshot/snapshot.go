// Package snapshot holds what a router acts on: one immutable snapshot of spec,
// runners, evacuations and plan, swapped whole; the serial of each part only
// rises.
package snapshot

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/config"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/planning/lengthstats"
)

// Runner is a listed runner with the region that it stands in.
type Runner struct {
	discovery.Runner
	Region ids.Region
}

// Snapshot is the state of everything at one moment; it is never changed.
type Snapshot struct {
	Spec     *config.Config
	Runners  map[ids.Service][]*Runner
	Empty    map[ids.Zone]bool
	Refilled map[ids.Zone]clock.Instant
	// Flows are the plan's shares of regions; Planned are the runners that the plan
	// tells apart from their type.
	Flows   []autoscaler.Flow
	Planned map[ids.RunnerID]autoscaler.RunnerWeight
	types   map[runnerType]float64
	// Resting are runners that failed the zone's requests, each until when.
	Resting map[ids.RunnerID]clock.Instant
	// Lost are the zones that do not answer this router's zone.
	Lost map[ids.Zone]bool
	// Lengths are how long answers take in this region.
	Lengths *lengthstats.Table
}

// Options are what a frame is made from.
type Options struct {
	Clock clock.Clock
	Zones map[ids.Zone]ids.Region
	// Region is the router's own.
	Region ids.Region
	// View keeps the list of runners; one is made where none is given.
	View *discovery.View
	// Listed is told each new list, before it is acted on.
	Listed func(seen *Snapshot)
	// Monitor may be left out.
	Monitor *invariant.Monitor
}

// Frame holds the snapshot of now.
type Frame struct {
	options Options
	mu      sync.Mutex
	now     atomic.Pointer[Snapshot]
	ready   chan struct{}
	once    sync.Once
	// standing are the runners of each zone, made from the section named.
	standing map[ids.Zone]standing
}

// standing is what was made of one section of the list.
type standing struct {
	section *discovery.ZoneList
	runners []*Runner
}

// NewFrame makes a frame with an empty snapshot.
func NewFrame(options Options) *Frame {
	if options.Listed == nil {
		options.Listed = func(*Snapshot) {}
	}
	if options.View == nil {
		options.View = discovery.NewView(discovery.ViewOptions{Clock: options.Clock})
	}
	frame := &Frame{options: options, ready: make(chan struct{}), standing: map[ids.Zone]standing{}}
	frame.now.Store(&Snapshot{})
	return frame
}

// Now gives the snapshot of now.
func (f *Frame) Now() *Snapshot { return f.now.Load() }

// Ready is closed once a spec and a list of runners are known.
func (f *Frame) Ready() <-chan struct{} { return f.ready }

// Absorb takes an item of news; the news store calls it in rising order of
// serials.
func (f *Frame) Absorb(item gossip.Item) {
	if f.options.View.Apply(item) {
		f.swap(f.relist)
		return
	}
	if absorb := absorbers[item.Key]; absorb != nil {
		f.swap(func(next *Snapshot) bool { return absorb(f, next, item) })
		return
	}
	if strings.HasPrefix(item.Key, gossip.ZonePrefix) {
		f.swap(func(next *Snapshot) bool { return f.absorbRests(next, item.Body) })
		return
	}
	if strings.HasPrefix(item.Key, gossip.LostPrefix) {
		f.swap(func(next *Snapshot) bool { return absorbLost(next, item.Body) })
		return
	}
	if zone, found := evacuation.ZoneFromKey(item.Key); found {
		f.swap(func(next *Snapshot) bool { return f.absorbZone(next, zone, item.Body) })
	}
}

// Take takes a list that was not told as news.
func (f *Frame) Take(list discovery.List) {
	f.options.View.SetLocal(list)
	f.swap(f.relist)
}

var absorbers = map[string]func(*Frame, *Snapshot, gossip.Item) bool{
	config.Key: func(frame *Frame, next *Snapshot, item gossip.Item) bool {
		read, err := config.Parse(item.Body)
		if err != nil || (next.Spec != nil && read.Version <= next.Spec.Version) {
			return false
		}
		next.Spec = read
		return true
	},
	autoscaler.RoutingKey: func(frame *Frame, next *Snapshot, item gossip.Item) bool {
		routing, err := autoscaler.ReadRouting(item.Body)
		if err != nil {
			return false
		}
		next.plan(routing)
		next.Lengths = nil
		for _, learnt := range routing.Lengths {
			if learnt.Region == frame.options.Region {
				next.Lengths = lengthstats.NewTable(learnt.Expected, learnt.Splits)
			}
		}
		return true
	},
}

// relist takes the runners over from the view; those of a zone whose section is
// the same stay the same.
func (f *Frame) relist(next *Snapshot) bool {
	sections := f.options.View.Zones()
	if sections == nil {
		return false
	}
	standings := map[ids.Zone]standing{}
	next.Runners = map[ids.Service][]*Runner{}
	for _, zone := range slices.Sorted(maps.Keys(sections)) {
		known := f.standing[zone]
		if known.section != sections[zone] {
			known = f.stand(sections[zone])
		}
		standings[zone] = known
		for _, runner := range known.runners {
			next.Runners[runner.Service] = append(next.Runners[runner.Service], runner)
		}
	}
	f.standing = standings
	f.options.Listed(next)
	return true
}

func (f *Frame) stand(section *discovery.ZoneList) standing {
	made := standing{section: section}
	for _, listed := range section.Runners {
		made.runners = append(made.runners, &Runner{Runner: listed, Region: f.options.Zones[listed.Zone]})
	}
	return made
}

func (f *Frame) absorbZone(next *Snapshot, zone ids.Zone, body []byte) bool {
	kept, err := evacuation.Decode(body)
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
	if empty[zone] && !kept.Drained {
		refilled[zone] = f.options.Clock.Now()
	}
	empty[zone] = kept.Drained
	next.Empty, next.Refilled = empty, refilled
	return true
}

func (f *Frame) swap(change func(next *Snapshot) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.now.Load()
	if !change(&next) {
		return
	}
	if before := f.now.Load().Spec; before != nil && next.Spec.Version < before.Version {
		f.options.Monitor.Violated(invariant.VersionRises, "version %d after %d", next.Spec.Version, before.Version)
	}
	f.now.Store(&next)
	if next.Spec != nil && next.Runners != nil {
		f.once.Do(func() { close(f.ready) })
	}
}
