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
	Config     *config.Config
	Runners    map[ids.Service][]*Runner
	Evacuated  map[ids.Zone]bool
	ReopenedAt map[ids.Zone]clock.Instant
	// Flows are the plan's shares of regions; Planned are the runners that the plan
	// tells apart from their type.
	Flows         []autoscaler.Flow
	RunnerWeights map[ids.RunnerID]autoscaler.RunnerWeight
	typeWeights   map[runnerType]float64
	// EjectedUntil are runners that failed the zone's requests, each until when.
	EjectedUntil map[ids.RunnerID]clock.Instant
	// LostZones are the zones that do not answer this router's zone.
	LostZones map[ids.Zone]bool
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
	// OnRunners is told each new list, before it is acted on.
	OnRunners func(seen *Snapshot)
	// Monitor may be left out.
	Monitor *invariant.Monitor
}

// Store holds the snapshot of now.
type Store struct {
	options   Options
	mu        sync.Mutex
	current   atomic.Pointer[Snapshot]
	ready     chan struct{}
	readyOnce sync.Once
	// zones are the runners of each zone, made from the section named.
	zones map[ids.Zone]zoneRunners
}

// zoneRunners is what was made of one section of the list.
type zoneRunners struct {
	section *discovery.ZoneList
	runners []*Runner
}

// NewStore makes a frame with an empty snapshot.
func NewStore(options Options) *Store {
	if options.OnRunners == nil {
		options.OnRunners = func(*Snapshot) {}
	}
	if options.View == nil {
		options.View = discovery.NewView(discovery.ViewOptions{Clock: options.Clock})
	}
	frame := &Store{options: options, ready: make(chan struct{}), zones: map[ids.Zone]zoneRunners{}}
	frame.current.Store(&Snapshot{})
	return frame
}

// Current gives the snapshot of now.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Ready is closed once a spec and a list of runners are known.
func (s *Store) Ready() <-chan struct{} { return s.ready }

// Apply takes an item of news; the news store calls it in rising order of
// serials.
func (s *Store) Apply(item gossip.Item) {
	if s.options.View.Apply(item) {
		s.update(s.rebuildRunners)
		return
	}
	if absorb := appliers[item.Key]; absorb != nil {
		s.update(func(next *Snapshot) bool { return absorb(s, next, item) })
		return
	}
	if strings.HasPrefix(item.Key, gossip.ZonePrefix) {
		s.update(func(next *Snapshot) bool { return s.applyEjections(next, item.Body) })
		return
	}
	if strings.HasPrefix(item.Key, gossip.LostPrefix) {
		s.update(func(next *Snapshot) bool { return applyLostZones(next, item.Body) })
		return
	}
	if zone, found := evacuation.ZoneFromKey(item.Key); found {
		s.update(func(next *Snapshot) bool { return s.applyEvacuation(next, zone, item.Body) })
	}
}

// ApplyRunners takes a list that was not told as news.
func (s *Store) ApplyRunners(list discovery.List) {
	s.options.View.SetLocal(list)
	s.update(s.rebuildRunners)
}

var appliers = map[string]func(*Store, *Snapshot, gossip.Item) bool{
	config.Key: func(frame *Store, next *Snapshot, item gossip.Item) bool {
		read, err := config.Parse(item.Body)
		if err != nil || (next.Config != nil && read.Version <= next.Config.Version) {
			return false
		}
		next.Config = read
		return true
	},
	autoscaler.RoutingKey: func(frame *Store, next *Snapshot, item gossip.Item) bool {
		routing, err := autoscaler.ReadRouting(item.Body)
		if err != nil {
			return false
		}
		next.applyPlan(routing)
		next.Lengths = nil
		for _, learnt := range routing.Lengths {
			if learnt.Region == frame.options.Region {
				next.Lengths = lengthstats.NewTable(learnt.Expected, learnt.Splits)
			}
		}
		return true
	},
}

// rebuildRunners takes the runners over from the view; those of a zone whose section is
// the same stay the same.
func (s *Store) rebuildRunners(next *Snapshot) bool {
	sections := s.options.View.Zones()
	if sections == nil {
		return false
	}
	standings := map[ids.Zone]zoneRunners{}
	next.Runners = map[ids.Service][]*Runner{}
	for _, zone := range slices.Sorted(maps.Keys(sections)) {
		known := s.zones[zone]
		if known.section != sections[zone] {
			known = s.newZoneRunners(sections[zone])
		}
		standings[zone] = known
		for _, runner := range known.runners {
			next.Runners[runner.Service] = append(next.Runners[runner.Service], runner)
		}
	}
	s.zones = standings
	s.options.OnRunners(next)
	return true
}

func (s *Store) newZoneRunners(section *discovery.ZoneList) zoneRunners {
	made := zoneRunners{section: section}
	for _, listed := range section.Runners {
		made.runners = append(made.runners, &Runner{Runner: listed, Region: s.options.Zones[listed.Zone]})
	}
	return made
}

func (s *Store) applyEvacuation(next *Snapshot, zone ids.Zone, body []byte) bool {
	kept, err := evacuation.Decode(body)
	if err != nil {
		return false
	}
	empty, refilled := map[ids.Zone]bool{}, map[ids.Zone]clock.Instant{}
	for name, value := range next.Evacuated {
		empty[name] = value
	}
	for name, when := range next.ReopenedAt {
		refilled[name] = when
	}
	if empty[zone] && !kept.Drained {
		refilled[zone] = s.options.Clock.Now()
	}
	empty[zone] = kept.Drained
	next.Evacuated, next.ReopenedAt = empty, refilled
	return true
}

func (s *Store) update(change func(next *Snapshot) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.current.Load()
	if !change(&next) {
		return
	}
	if before := s.current.Load().Config; before != nil && next.Config.Version < before.Version {
		s.options.Monitor.Violated(invariant.VersionRises, "version %d after %d", next.Config.Version, before.Version)
	}
	s.current.Store(&next)
	if next.Config != nil && next.Runners != nil {
		s.readyOnce.Do(func() { close(s.ready) })
	}
}
