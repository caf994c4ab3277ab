package discovery

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

// ViewOptions are what a view is made from.
type ViewOptions struct {
	Clock clock.Clock
	// Zones are those of which a part must have come before the list is whole.
	Zones []ids.Zone
	// MaxAge is how long the list counts as fresh after the last word that it
	// holds.
	MaxAge clock.Span
}

// View is the list of runners as a daemon knows it. It is put together from the
// parts that the holder of the duty tells. While nothing is heard of these, a list
// that was read for this zone stands in their place, until a beat confirms them.
type View struct {
	options ViewOptions
	mu      sync.Mutex
	// published are the parts as they were told, digest is theirs, and beat the digest
	// that was last confirmed.
	published       map[ids.Zone]*ZoneList
	digest          int64
	heartbeatDigest int64
	// active are what is acted on; local says that they were read for this zone.
	active        map[ids.Zone]*ZoneList
	local         bool
	heartbeatSeen bool
	confirmedAt   clock.Instant
	createdAt     clock.Instant
}

// ZoneList is the part of the list that stands in one zone. It is never changed:
// another pointer says that the part may be another one.
type ZoneList struct {
	Runners []Runner
	serial  ids.Serial
}

// NewView makes a view that knows nothing yet.
func NewView(options ViewOptions) *View {
	return &View{options: options, published: map[ids.Zone]*ZoneList{}, active: map[ids.Zone]*ZoneList{}, createdAt: options.Clock.Now()}
}

// Apply takes an item of news; it tells whether the list may be another one now.
func (v *View) Apply(item gossip.Item) bool {
	if zone, found := zoneOfKey(item.Key); found {
		return v.applyZone(zone, item)
	}
	switch {
	case item.Key == HeartbeatKey:
		return v.applyHeartbeat(item)
	case strings.HasPrefix(item.Key, gossip.LocalPrefix):
		return v.applyLocal(item)
	}
	return false
}

func (v *View) applyZone(zone ids.Zone, item gossip.Item) bool {
	list, err := transport.Unmarshal[List](item.Body)
	if err != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.complete()
	if old := v.published[zone]; old != nil {
		v.digest ^= zoneDigest(zone, old.serial)
	}
	v.digest ^= zoneDigest(zone, item.Version)
	v.published[zone] = &ZoneList{Runners: list.Runners, serial: item.Version}
	if !v.complete() {
		return false
	}
	if !before {
		v.confirmedAt = v.options.Clock.Now()
		v.usePublished()
	}
	v.active = maps.Clone(v.active)
	v.active[zone] = v.published[zone]
	v.confirm()
	return true
}

func (v *View) applyHeartbeat(item gossip.Item) bool {
	beat, err := transport.Unmarshal[Heartbeat](item.Body)
	if err != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.heartbeatSeen, v.heartbeatDigest = true, beat.Digest
	return v.confirm()
}

// confirm compares the parts with the last beat; where they agree, the list is
// fresh, and the parts stand in place of a local list. It tells whether they do
// so only now.
func (v *View) confirm() bool {
	if !v.heartbeatSeen || v.heartbeatDigest != v.digest || !v.complete() {
		return false
	}
	v.confirmedAt = v.options.Clock.Now()
	was := v.local
	if was {
		v.usePublished()
	}
	return was
}

func (v *View) usePublished() {
	v.active, v.local = maps.Clone(v.published), false
}

// applyLocal takes a list that was read for this zone, unless the parts are
// known to hold.
func (v *View) applyLocal(item gossip.Item) bool {
	list, err := transport.Unmarshal[List](item.Body)
	if err != nil || v.Fresh() {
		return false
	}
	v.SetLocal(list)
	return true
}

// SetLocal has a list stand in place of the parts that were told.
func (v *View) SetLocal(list List) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.active, v.local = map[ids.Zone]*ZoneList{}, true
	for zone, part := range groupByZone(list.Runners, v.options.Zones) {
		v.active[zone] = &ZoneList{Runners: part.Runners}
	}
	v.confirmedAt = v.options.Clock.Now()
}

// complete tells whether a part of every zone was told.
func (v *View) complete() bool {
	for _, zone := range v.options.Zones {
		if v.published[zone] == nil {
			return false
		}
	}
	return len(v.published) > 0
}

// Complete tells whether the list can be acted on.
func (v *View) Complete() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.local || v.complete()
}

// Fresh tells whether the list was confirmed, or read, within the patience.
func (v *View) Fresh() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return (v.local || v.complete()) && v.options.Clock.Now().Since(v.confirmedAt) < v.options.MaxAge
}

// ConfirmedAt is when the list was last confirmed or read; before that, when the
// view was made.
func (v *View) ConfirmedAt() clock.Instant {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.local || v.complete() {
		return v.confirmedAt
	}
	return v.createdAt
}

// Zones gives the parts that are to be acted on; nobody changes them.
func (v *View) Zones() map[ids.Zone]*ZoneList {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.local && !v.complete() {
		return nil
	}
	return v.active
}

// Runners gives all runners, in the order of their zones.
func (v *View) Runners() []Runner {
	sections := v.Zones()
	var runners []Runner
	for _, zone := range slices.Sorted(maps.Keys(sections)) {
		runners = append(runners, sections[zone].Runners...)
	}
	return runners
}
