package discovery

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

// ViewOptions holds the dependencies and settings of a View.
type ViewOptions struct {
	Clock clock.Clock
	// Zones are the zones whose published lists are needed for a complete view. If
	// it is empty, the list of any one zone suffices.
	Zones []ids.Zone
	// MaxAge is how long the list stays fresh after it was last confirmed.
	MaxAge time.Duration
}

// View is a daemon's copy of the list of runners. It is assembled from the lists
// that the holder of the discovery lease publishes zone by zone; the items of
// different keys may be applied in any order. While these lists are incomplete or
// stale, a local list, which a member of this zone read from the platform, may
// replace them. They are used again as soon as they become complete or a heartbeat
// confirms them. View is safe for concurrent use.
type View struct {
	options   ViewOptions
	createdAt clock.Instant

	mu sync.Mutex
	// published holds the last published list of each zone, and digest is the xor of
	// their digests.
	published map[ids.Zone]*ZoneList
	digest    int64
	// heartbeatDigest is the digest of the last heartbeat; it is valid if
	// heartbeatSeen is set.
	heartbeatDigest int64
	heartbeatSeen   bool
	// active holds the lists in use. The map is replaced, never modified. local says
	// that a local list is in use; in it, the lists of zones that were published
	// since replace the local ones.
	active      map[ids.Zone]*ZoneList
	local       bool
	confirmedAt clock.Instant
}

// ZoneList is the list of one zone. It is immutable, so callers may compare
// pointers to find the zones that may have changed.
type ZoneList struct {
	Runners []Runner
	serial  ids.Version
}

// NewView returns an empty view, which is neither complete nor fresh.
func NewView(options ViewOptions) *View {
	return &View{
		options: options, createdAt: options.Clock.Now(),
		published: map[ids.Zone]*ZoneList{}, active: map[ids.Zone]*ZoneList{},
	}
}

// Apply applies a gossip item and reports whether the list in use may have changed.
// It ignores items of other packages and items that can't be decoded.
func (v *View) Apply(item gossip.Item) (changed bool) {
	if zone, ok := zoneOfKey(item.Key); ok {
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

// applyZone applies the published list of a zone. The list that makes the published
// ones complete also confirms them; a later one does only if the digest matches
// that of the last heartbeat.
func (v *View) applyZone(zone ids.Zone, item gossip.Item) bool {
	list, err := transport.Unmarshal[List](item.Body)
	if err != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	wasComplete := v.complete()
	if replaced := v.published[zone]; replaced != nil {
		v.digest ^= zoneDigest(zone, replaced.serial)
	}
	v.digest ^= zoneDigest(zone, item.Version)
	v.published[zone] = &ZoneList{Runners: list.Runners, serial: item.Version}
	if !v.complete() {
		return false
	}
	if !wasComplete {
		v.confirmedAt = v.options.Clock.Now()
		v.usePublished()
	}
	v.active = maps.Clone(v.active)
	v.active[zone] = v.published[zone]
	v.confirm()
	return true
}

// applyHeartbeat applies a heartbeat and reports whether the published lists
// replaced a local one.
func (v *View) applyHeartbeat(item gossip.Item) bool {
	heartbeat, err := transport.Unmarshal[Heartbeat](item.Body)
	if err != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.heartbeatSeen, v.heartbeatDigest = true, heartbeat.Digest
	return v.confirm()
}

// applyLocal applies a local list, unless the list in use is fresh.
func (v *View) applyLocal(item gossip.Item) bool {
	list, err := transport.Unmarshal[List](item.Body)
	if err != nil || v.Fresh() {
		return false
	}
	v.SetLocal(list)
	return true
}

// SetLocal replaces the lists in use by a local list, until the published ones
// become complete or a heartbeat confirms them. The local list counts as confirmed
// now.
func (v *View) SetLocal(list List) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.active, v.local = map[ids.Zone]*ZoneList{}, true
	for zone, part := range groupByZone(list.Runners, v.options.Zones) {
		v.active[zone] = &ZoneList{Runners: part.Runners}
	}
	v.confirmedAt = v.options.Clock.Now()
}

// confirm marks the published lists as fresh and ends the use of a local list, if
// the published lists are complete and match the last heartbeat. It reports whether
// it replaced a local list. v.mu must be held.
func (v *View) confirm() (replaced bool) {
	if !v.heartbeatSeen || v.heartbeatDigest != v.digest || !v.complete() {
		return false
	}
	v.confirmedAt = v.options.Clock.Now()
	replaced = v.local
	if replaced {
		v.usePublished()
	}
	return replaced
}

// usePublished makes the published lists those in use. v.mu must be held.
func (v *View) usePublished() {
	v.active, v.local = maps.Clone(v.published), false
}

// complete reports whether the lists of all zones in ViewOptions.Zones were
// published, and at least one list. v.mu must be held.
func (v *View) complete() bool {
	for _, zone := range v.options.Zones {
		if v.published[zone] == nil {
			return false
		}
	}
	return len(v.published) > 0
}

// usable reports whether there is a complete list, published or local. v.mu must be
// held.
func (v *View) usable() bool { return v.local || v.complete() }

// Complete reports whether there is a complete list, published or local.
func (v *View) Complete() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.usable()
}

// Fresh reports whether there is a complete list that was confirmed less than
// MaxAge ago.
func (v *View) Fresh() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.usable() && v.options.Clock.Now().Since(v.confirmedAt) < v.options.MaxAge
}

// ConfirmedAt returns when the list was last confirmed or, if it is local, applied.
// While there is no complete list, it returns when the view was created.
func (v *View) ConfirmedAt() clock.Instant {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.usable() {
		return v.confirmedAt
	}
	return v.createdAt
}

// Zones returns the lists in use by zone, or nil while there is no complete list.
// The caller must not modify them.
func (v *View) Zones() map[ids.Zone]*ZoneList {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.usable() {
		return nil
	}
	return v.active
}

// Runners returns the runners of all lists in use, ordered by zone.
func (v *View) Runners() []Runner {
	lists := v.Zones()
	var runners []Runner
	for _, zone := range slices.Sorted(maps.Keys(lists)) {
		runners = append(runners, lists[zone].Runners...)
	}
	return runners
}
