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
	// Patience is how long the list counts as fresh after the last word that it
	// holds.
	Patience clock.Span
}

// View is the list of runners as a daemon knows it. It is put together from the
// parts that the holder of the duty tells. While nothing is heard of these, a list
// that was read for this zone stands in their place, until a beat confirms them.
type View struct {
	options ViewOptions
	mu      sync.Mutex
	// told are the parts as they were told, digest is theirs, and beat the digest
	// that was last confirmed.
	told   map[ids.Zone]*Section
	digest int64
	beat   int64
	// sections are what is acted on; local says that they were read for this zone.
	sections map[ids.Zone]*Section
	local    bool
	heard    bool
	fresh    clock.Instant
	born     clock.Instant
}

// Section is the part of the list that stands in one zone. It is never changed:
// another pointer says that the part may be another one.
type Section struct {
	Runners []Runner
	serial  ids.Serial
}

// NewView makes a view that knows nothing yet.
func NewView(options ViewOptions) *View {
	return &View{options: options, told: map[ids.Zone]*Section{}, sections: map[ids.Zone]*Section{}, born: options.Clock.Now()}
}

// Absorb takes an item of news; it tells whether the list may be another one now.
func (v *View) Absorb(item gossip.Item) bool {
	if zone, found := zoneOf(item.Key); found {
		return v.absorbPart(zone, item)
	}
	switch {
	case item.Key == BeatKey:
		return v.absorbBeat(item)
	case strings.HasPrefix(item.Key, gossip.LocalPrefix):
		return v.absorbLocal(item)
	}
	return false
}

func (v *View) absorbPart(zone ids.Zone, item gossip.Item) bool {
	list, err := transport.Unmarshal[List](item.Body)
	if err != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.whole()
	if old := v.told[zone]; old != nil {
		v.digest ^= partDigest(zone, old.serial)
	}
	v.digest ^= partDigest(zone, item.Version)
	v.told[zone] = &Section{Runners: list.Runners, serial: item.Version}
	if !v.whole() {
		return false
	}
	if !before {
		v.fresh = v.options.Clock.Now()
		v.restore()
	}
	v.sections = maps.Clone(v.sections)
	v.sections[zone] = v.told[zone]
	v.confirm()
	return true
}

func (v *View) absorbBeat(item gossip.Item) bool {
	beat, err := transport.Unmarshal[Beat](item.Body)
	if err != nil {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.heard, v.beat = true, beat.Digest
	return v.confirm()
}

// confirm compares the parts with the last beat; where they agree, the list is
// fresh, and the parts stand in place of a local list. It tells whether they do
// so only now.
func (v *View) confirm() bool {
	if !v.heard || v.beat != v.digest || !v.whole() {
		return false
	}
	v.fresh = v.options.Clock.Now()
	was := v.local
	if was {
		v.restore()
	}
	return was
}

func (v *View) restore() {
	v.sections, v.local = maps.Clone(v.told), false
}

// absorbLocal takes a list that was read for this zone, unless the parts are
// known to hold.
func (v *View) absorbLocal(item gossip.Item) bool {
	list, err := transport.Unmarshal[List](item.Body)
	if err != nil || v.Fresh() {
		return false
	}
	v.Take(list)
	return true
}

// Take has a list stand in place of the parts that were told.
func (v *View) Take(list List) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sections, v.local = map[ids.Zone]*Section{}, true
	for zone, part := range byZone(list.Runners, v.options.Zones) {
		v.sections[zone] = &Section{Runners: part.Runners}
	}
	v.fresh = v.options.Clock.Now()
}

// whole tells whether a part of every zone was told.
func (v *View) whole() bool {
	for _, zone := range v.options.Zones {
		if v.told[zone] == nil {
			return false
		}
	}
	return len(v.told) > 0
}

// Whole tells whether the list can be acted on.
func (v *View) Whole() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.local || v.whole()
}

// Fresh tells whether the list was confirmed, or read, within the patience.
func (v *View) Fresh() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return (v.local || v.whole()) && v.options.Clock.Now().Since(v.fresh) < v.options.Patience
}

// Confirmed is when the list was last confirmed or read; before that, when the
// view was made.
func (v *View) Confirmed() clock.Instant {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.local || v.whole() {
		return v.fresh
	}
	return v.born
}

// Sections gives the parts that are to be acted on; nobody changes them.
func (v *View) Sections() map[ids.Zone]*Section {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.local && !v.whole() {
		return nil
	}
	return v.sections
}

// Runners gives all runners, in the order of their zones.
func (v *View) Runners() []Runner {
	sections := v.Sections()
	var runners []Runner
	for _, zone := range slices.Sorted(maps.Keys(sections)) {
		runners = append(runners, sections[zone].Runners...)
	}
	return runners
}
