package discovery

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

const (
	// maxFailures is how many polls in a row may fail before the lease is
	// resigned: another controller may reach the platform.
	maxFailures = 2
	// unchangedThreshold is after how many polls in a row without a change the
	// interval grows by unchangedBackoff.
	unchangedThreshold = 6
	unchangedBackoff   = 2
	// rateDivisor is the part, one in so many, of the platform's rate limit that
	// polls may use.
	rateDivisor = 2
	// minDelayDivisor is the part of the interval, one in so many, that passes at
	// least between the end of a poll and the next.
	minDelayDivisor = 4
)

// Publisher polls the platform's list while it holds the discovery lease, and
// publishes by gossip the lists of the zones that changed. Every item's version
// carries the lease's epoch, so that an item of a holder that was superseded
// never replaces one of its successor. Run is the only caller of Poll.
type Publisher struct {
	Platform *PlatformClient
	Updates  *gossip.Store
	Clock    clock.Clock
	Log      *log.Logger
	// RatePerS is the platform's rate limit in calls a second; 0 for none.
	RatePerS float64
	// Held reports whether the lease is held at an instant, and its epoch.
	Held func(now clock.Instant) (epoch int64, held bool)
	// Resign gives the lease up; it may be nil.
	Resign func(ctx context.Context)
	// Interval is the time from one poll to the next. It doubles while nothing
	// changes, unless the list is read by zone.
	Interval time.Duration
	// RunnersExpected reports whether runners are about to be added, so that the interval does not
	// double; nil is never.
	RunnersExpected func() bool
	// HeartbeatInterval is the time between two heartbeats of an unchanged list.
	HeartbeatInterval time.Duration

	// epoch is the one under which the lists in published were published.
	epoch     int64
	published map[ids.Zone]publishedZone
	// sequence numbers the published items; a new epoch does not restart it.
	sequence      int64
	lastHeartbeat clock.Instant
	// failures and unchanged count polls in a row.
	failures  int
	unchanged int
}

// publishedZone is a zone's list as last published.
type publishedZone struct {
	list   List
	serial ids.Version
}

// Run polls until ctx ends. The interval includes the time that a poll takes.
func (p *Publisher) Run(ctx context.Context) {
	elapsed := time.Duration(0)
	for clock.Wait(ctx, p.Clock, max(p.delay()-elapsed, p.Interval/minDelayDivisor)) {
		started := p.Clock.Now()
		p.Poll(ctx)
		elapsed = p.Clock.Now().Since(started)
	}
}

// delay is the time from one poll to the next: the interval with its backoff, or
// as much as the pages of one poll need under the platform's rate limit.
func (p *Publisher) delay() time.Duration {
	delay := p.Interval
	runnersExpected := p.RunnersExpected != nil && p.RunnersExpected()
	if p.unchanged >= unchangedThreshold && !p.Platform.ByZone() && !runnersExpected {
		delay *= unchangedBackoff
	}
	if p.RatePerS <= 0 {
		return delay
	}
	return max(delay, time.Duration(float64(rateDivisor*p.Platform.LastPages)/p.RatePerS*float64(time.Second)))
}

// Poll reads the list once and publishes what changed. A list that was read
// under an earlier epoch is discarded: another holder may have published a newer
// one in between.
func (p *Publisher) Poll(ctx context.Context) {
	startEpoch, held := p.Held(p.Clock.Now())
	if !held {
		p.failures, p.unchanged = 0, 0
		return
	}
	lists, err := p.Platform.List(ctx)
	if err != nil {
		p.Log.Warn().Str("part", logPart).Err(err).Msg("platform poll failed")
		p.recordFailure(ctx)
		return
	}
	p.failures = 0
	now := p.Clock.Now()
	epoch, held := p.Held(now)
	if !held || epoch != startEpoch {
		return
	}
	p.publish(epoch, lists, now)
}

func (p *Publisher) recordFailure(ctx context.Context) {
	if p.failures++; p.failures >= maxFailures && p.Resign != nil {
		p.failures = 0
		p.Log.Info().Str("part", logPart).Msg("discovery lease resigned: platform unreachable")
		p.Resign(ctx)
	}
}

// publish publishes the lists that changed, and a heartbeat with each change and
// once an interval. Under a new epoch every list is published: another holder may
// have published newer ones, or read some before it froze.
func (p *Publisher) publish(epoch int64, lists map[ids.Zone]List, now clock.Instant) {
	if epoch != p.epoch {
		p.epoch, p.published = epoch, map[ids.Zone]publishedZone{}
		p.addRemovedZones(lists)
	}
	changed := false
	for _, zone := range slices.Sorted(maps.Keys(lists)) {
		if p.upToDate(zone, lists[zone]) {
			continue
		}
		changed = true
		p.published[zone] = publishedZone{list: lists[zone], serial: publishItem(p, ZoneKey(zone), lists[zone])}
	}
	p.unchanged++
	if changed {
		p.unchanged = 0
	}
	if changed || now.Since(p.lastHeartbeat) >= p.HeartbeatInterval {
		p.lastHeartbeat = now
		publishItem(p, HeartbeatKey, Heartbeat{Digest: p.digest()})
	}
}

// upToDate reports whether the zone's list is what this publisher published last
// and the gossip store still holds.
func (p *Publisher) upToDate(zone ids.Zone, list List) bool {
	last, ok := p.published[zone]
	current, _ := p.Updates.Get(ZoneKey(zone))
	return ok && current.Version == last.serial && list.equivalent(last.list)
}

// addRemovedZones adds an empty list for each published zone that the platform
// no longer names.
func (p *Publisher) addRemovedZones(lists map[ids.Zone]List) {
	for _, item := range p.Updates.WithPrefix(ZoneKeyPrefix) {
		zone, _ := zoneOfKey(item.Key)
		if _, listed := lists[zone]; !listed {
			lists[zone] = List{}
		}
	}
}

// digest combines the digests of all published zones.
func (p *Publisher) digest() int64 {
	digest := int64(0)
	for zone, published := range p.published {
		digest ^= zoneDigest(zone, published.serial)
	}
	return digest
}

// publishItem puts a message into the gossip store under the next serial.
func publishItem[Message any](p *Publisher, key string, message Message) ids.Version {
	p.sequence++
	serial := FencedSerial(p.epoch, p.sequence)
	if body, err := transport.Marshal(message); err == nil {
		p.Updates.Put(gossip.Item{Key: key, Version: serial, Body: body})
	}
	return serial
}
