package snapshot

import (
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/membership/zonesummary"
	"onyxwell/control/outlier"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/control/rollout"
)

// Options configures a Store.
type Options struct {
	Clock clock.Clock
	// Log may be nil.
	Log *log.Logger
	// Zones maps each zone to its region. Region is the router's own region.
	Zones  map[ids.Zone]ids.Region
	Region ids.Region
	// View tracks the list of runners. If it is nil, NewStore creates one.
	View *discovery.View
	// OnConfig is called with each snapshot that has a new configuration. OnRunners is
	// called with each that has a new list of runners, and with the one before it.
	// OnZoneRestored is called with each in which the evacuation of a zone has ended, even
	// if that was not known to have begun. They are called before the snapshot becomes
	// current, may be nil, and must not call the store, except for Current.
	OnConfig       func(next *Snapshot)
	OnRunners      func(previous *Snapshot, next *Snapshot)
	OnZoneRestored func(zone ids.Zone, next *Snapshot)
	// TracksVersions enables Snapshot.Versions, which tells the versions of a service apart
	// during rollouts and after them.
	TracksVersions bool
	// Monitor may be nil.
	Monitor *invariant.Monitor
}

// Store holds the current snapshot. It is safe for concurrent use.
type Store struct {
	options   Options
	current   atomic.Pointer[Snapshot]
	ready     chan struct{}
	readyOnce sync.Once

	// mu serializes updates and guards zones.
	mu    sync.Mutex
	zones map[ids.Zone]zoneRunners
}

// zoneRunners holds a zone's part of the list and the runners built from it.
type zoneRunners struct {
	list    *discovery.ZoneList
	runners []*Runner
}

// NewStore returns a Store with an empty snapshot.
func NewStore(options Options) *Store {
	if options.OnConfig == nil {
		options.OnConfig = func(*Snapshot) {}
	}
	if options.OnRunners == nil {
		options.OnRunners = func(*Snapshot, *Snapshot) {}
	}
	if options.OnZoneRestored == nil {
		options.OnZoneRestored = func(ids.Zone, *Snapshot) {}
	}
	if options.Log == nil {
		options.Log = scope.NewLogger("error", io.Discard)
	}
	if options.View == nil {
		options.View = discovery.NewView(discovery.ViewOptions{Clock: options.Clock})
	}
	s := &Store{options: options, ready: make(chan struct{})}
	s.current.Store(&Snapshot{})
	return s
}

// Current returns the current snapshot. It is never nil.
func (s *Store) Current() *Snapshot { return s.current.Load() }

// Ready returns a channel that is closed once a configuration and a list of runners have
// been received.
func (s *Store) Ready() <-chan struct{} { return s.ready }

// Apply applies a gossiped item. Items that cannot be decoded are ignored. The caller,
// a gossip store, must pass the versions of each key in increasing order.
func (s *Store) Apply(item gossip.Item) {
	if s.options.View.Apply(item) {
		s.update(s.applyRunners)
	} else if apply := s.applierFor(item.Key); apply != nil {
		s.update(func(next *Snapshot) bool { return apply(next, item.Body) })
	}
}

// applier applies an item's body to the next snapshot and reports whether it changed
// anything.
type applier func(next *Snapshot, body []byte) bool

// applierFor returns the applier for the items of a key, or nil if the key is not used.
func (s *Store) applierFor(key string) applier {
	switch {
	case key == config.Key:
		return s.applyConfig
	case key == autoscaler.RoutingKey:
		return s.applyPlan
	case strings.HasPrefix(key, gossip.ZonePrefix):
		return s.applyEjections
	case strings.HasPrefix(key, gossip.LostPrefix):
		return s.applyLostZones
	}
	if service, ok := rollout.ServiceOfKey(key); ok {
		return func(next *Snapshot, body []byte) bool { return s.applyRollout(next, service, body) }
	}
	if service, ok := rollout.ServiceOfStableKey(key); ok {
		return func(next *Snapshot, body []byte) bool { return s.applyStableVersion(next, service, body) }
	}
	if zone, ok := evacuation.ZoneFromKey(key); ok {
		return func(next *Snapshot, body []byte) bool { return s.applyEvacuation(next, zone, body) }
	}
	return nil
}

// ApplyRunners applies a list of runners that was not received by gossip.
func (s *Store) ApplyRunners(list discovery.List) {
	s.options.View.SetLocal(list)
	s.update(s.applyRunners)
}

// update applies change to a copy of the current snapshot and makes the copy current if
// change returns true. change must replace maps instead of modifying them.
func (s *Store) update(change func(next *Snapshot) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	next := *current
	if !change(&next) {
		return
	}
	if current.Config != nil && next.Config.Version < current.Config.Version {
		s.options.Monitor.Violated(invariant.VersionRises, "configuration version %d is applied after version %d", next.Config.Version, current.Config.Version)
	}
	s.current.Store(&next)
	if next.Config != current.Config {
		s.options.Log.Info().Str("part", "config").Int64("config_version", int64(next.Config.Version)).
			Int("routes", len(next.Config.Routes)).Msg("configuration in force")
	}
	if next.Config != nil && next.Runners != nil {
		s.readyOnce.Do(func() { close(s.ready) })
	}
}

func (s *Store) applyConfig(next *Snapshot, body []byte) bool {
	parsed, err := config.Parse(body)
	if err != nil || (next.Config != nil && parsed.Version <= next.Config.Version) {
		return false
	}
	next.Config = parsed
	s.options.OnConfig(next)
	return true
}

// applyPlan applies the plan's flows, weights and length estimates.
func (s *Store) applyPlan(next *Snapshot, body []byte) bool {
	routing, err := autoscaler.ReadRouting(body)
	if err != nil {
		return false
	}
	next.Flows, next.Lengths = routing.Flows, nil
	next.typeWeights = map[runnerType]float64{}
	for _, planned := range routing.Types {
		next.typeWeights[runnerType{service: planned.Service, version: planned.Version}] = planned.Weight
	}
	next.RunnerWeights = map[ids.RunnerID]autoscaler.RunnerWeight{}
	for _, planned := range routing.Runners {
		next.RunnerWeights[planned.Runner] = planned
	}
	for _, lengths := range routing.Lengths {
		if lengths.Region == s.options.Region {
			next.Lengths = lengthstats.NewTable(lengths.Expected, lengths.Splits)
		}
	}
	return true
}

// applyRunners applies the view's list of runners. If a zone's part of the list is
// unchanged, its Runner values are reused.
func (s *Store) applyRunners(next *Snapshot) bool {
	lists := s.options.View.Zones()
	if lists == nil {
		return false
	}
	zones := map[ids.Zone]zoneRunners{}
	next.Runners = map[ids.Service][]*Runner{}
	for _, zone := range slices.Sorted(maps.Keys(lists)) {
		zones[zone] = s.zones[zone]
		if zones[zone].list != lists[zone] {
			zones[zone] = s.newZoneRunners(lists[zone])
		}
		for _, runner := range zones[zone].runners {
			next.Runners[runner.Service] = append(next.Runners[runner.Service], runner)
		}
	}
	s.zones = zones
	s.updateVersions(next)
	s.options.OnRunners(s.Current(), next)
	return true
}

func (s *Store) newZoneRunners(list *discovery.ZoneList) zoneRunners {
	zone := zoneRunners{list: list}
	for _, listed := range list.Runners {
		zone.runners = append(zone.runners, &Runner{Runner: listed, Region: s.options.Zones[listed.Zone]})
	}
	return zone
}

func (s *Store) applyEvacuation(next *Snapshot, zone ids.Zone, body []byte) bool {
	state, err := evacuation.Decode(body)
	if err != nil {
		return false
	}
	evacuated := map[ids.Zone]bool{}
	maps.Copy(evacuated, next.Evacuated)
	evacuated[zone] = state.Drained
	next.Evacuated = evacuated
	if !state.Drained {
		s.options.OnZoneRestored(zone, next)
	}
	return true
}

func (s *Store) applyRollout(next *Snapshot, service ids.Service, body []byte) bool {
	record, err := rollout.Decode(service, body)
	if err != nil || record.Version <= next.Rollouts[service].Version {
		return false
	}
	rollouts := map[ids.Service]rollout.Record{}
	maps.Copy(rollouts, next.Rollouts)
	rollouts[service] = record
	next.Rollouts = rollouts
	s.updateVersions(next)
	return true
}

func (s *Store) applyStableVersion(next *Snapshot, service ids.Service, body []byte) bool {
	stored, err := rollout.DecodeStable(service, body)
	if err != nil || stored.Version <= next.StableVersions[service].Version {
		return false
	}
	stable := map[ids.Service]rollout.StableRecord{}
	maps.Copy(stable, next.StableVersions)
	stable[service] = stored
	next.StableVersions = stable
	s.updateVersions(next)
	return true
}

// updateVersions updates the roles of versions, if they are tracked.
func (s *Store) updateVersions(next *Snapshot) {
	if s.options.TracksVersions {
		next.Versions = versionsOf(next)
	}
}

// applyEjections applies the ejected runners, which are gossiped only within the zone. An
// ejection ends on its own, by this router's clock.
func (s *Store) applyEjections(next *Snapshot, body []byte) bool {
	ejections, err := outlier.Decode(body)
	if err != nil {
		return false
	}
	now := s.options.Clock.Now()
	next.EjectedUntil = map[ids.RunnerID]clock.Instant{}
	for _, ejection := range ejections.Runners {
		next.EjectedUntil[ejection.Runner] = now.Add(time.Duration(ejection.LeftMS) * time.Millisecond)
	}
	return true
}

func (s *Store) applyLostZones(next *Snapshot, body []byte) bool {
	lost, err := zonesummary.UnmarshalLostZones(body)
	if err != nil {
		return false
	}
	next.LostZones = map[ids.Zone]bool{}
	for _, zone := range lost.Zones {
		next.LostZones[zone] = true
	}
	switch {
	case len(next.LostZones) == 0 || 2*len(next.LostZones) < len(s.options.Zones):
		next.CutOffSince = 0
	case next.CutOffSince == 0:
		next.CutOffSince = s.options.Clock.Now()
	}
	return true
}
