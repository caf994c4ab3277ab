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
	// maxFailures is the number of consecutive failed polls after which the lease is
	// resigned, since another controller may be able to reach the platform.
	maxFailures = 2
	// unchangedThreshold is the number of consecutive polls without a change after
	// which the interval is multiplied by unchangedBackoff.
	unchangedThreshold = 6
	unchangedBackoff   = 2
	// rateDivisor defines the share of the platform's rate limit that polls may use:
	// 1/rateDivisor.
	rateDivisor = 2
	// minDelayDivisor defines the minimum time between the end of a poll and the
	// start of the next: Interval / minDelayDivisor.
	minDelayDivisor = 4
)

// Publisher polls the platform's list while it holds the discovery lease, and
// publishes by gossip the lists of the zones that changed. Every item's version
// contains the lease's epoch, so that an item of a former holder never replaces one
// of its successor. It is not safe for concurrent use: while Run is running, only
// Run may call Poll.
type Publisher struct {
	Platform *PlatformClient
	Updates  *gossip.Store
	Clock    clock.Clock
	Log      *log.Logger
	// RatePerS is the platform's rate limit in calls per second; 0 means no limit.
	RatePerS float64
	// Held reports whether this controller holds the lease at an instant, and under
	// which epoch.
	Held func(now clock.Instant) (epoch int64, held bool)
	// Resign gives up the lease; it may be nil.
	Resign func(ctx context.Context)
	// Interval is the time from the start of one poll to that of the next. It is
	// multiplied by unchangedBackoff once unchangedThreshold polls found no change,
	// unless the list is read by zone.
	Interval time.Duration
	// RunnersExpected reports whether runners are about to be added, so that the
	// interval must not be extended. nil means never.
	RunnersExpected func() bool
	// HeartbeatInterval is the time between two heartbeats of an unchanged list.
	HeartbeatInterval time.Duration

	// epoch is the lease's epoch under which the lists in published were published.
	epoch     int64
	published map[ids.Zone]publishedZone
	// sequence is the sequence number of the last published item; a new epoch does
	// not reset it.
	sequence      int64
	lastHeartbeat clock.Instant
	// failures is the number of consecutive polls that failed, and unchanged that of
	// the polls that succeeded since the list last changed.
	failures  int
	unchanged int
}

// publishedZone is a zone's list as last published, with its serial.
type publishedZone struct {
	list   List
	serial ids.Version
}

// Run polls until ctx ends. The time that a poll takes counts towards the interval.
func (p *Publisher) Run(ctx context.Context) {
	elapsed := time.Duration(0)
	for clock.Wait(ctx, p.Clock, max(p.delay()-elapsed, p.Interval/minDelayDivisor)) {
		started := p.Clock.Now()
		p.Poll(ctx)
		elapsed = p.Clock.Now().Since(started)
	}
}

// delay returns the time from the start of one poll to that of the next: the
// interval with its backoff, or, if longer, the time that the pages of one poll
// need at the polls' share of the platform's rate limit.
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

// Poll reads the list once and publishes the zones that changed, if the lease is
// held. If the lease ended or its epoch changed during the read, the list is
// discarded: another holder may have published a newer one in between.
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

// recordFailure counts a failed poll, and resigns the lease after maxFailures
// consecutive ones.
func (p *Publisher) recordFailure(ctx context.Context) {
	if p.failures++; p.failures >= maxFailures && p.Resign != nil {
		p.failures = 0
		p.Log.Info().Str("part", logPart).Msg("discovery lease resigned: platform unreachable")
		p.Resign(ctx)
	}
}

// publish publishes the lists that changed, and a heartbeat with each change and
// at least once per HeartbeatInterval. Under a new epoch it publishes every list:
// another holder may have published newer ones, or may yet publish a list that it
// read before its process was suspended.
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

// upToDate reports whether the zone's list is equivalent to the one that this
// publisher published last and that the gossip store still holds.
func (p *Publisher) upToDate(zone ids.Zone, list List) bool {
	last, ok := p.published[zone]
	current, _ := p.Updates.Get(ZoneKey(zone))
	return ok && current.Version == last.serial && list.equivalent(last.list)
}

// addRemovedZones adds an empty list for each zone that has a published list but no
// longer appears in the platform's.
func (p *Publisher) addRemovedZones(lists map[ids.Zone]List) {
	for _, item := range p.Updates.WithPrefix(ZoneKeyPrefix) {
		zone, _ := zoneOfKey(item.Key)
		if _, listed := lists[zone]; !listed {
			lists[zone] = List{}
		}
	}
}

// digest returns the combined digest of all published lists.
func (p *Publisher) digest() int64 {
	digest := int64(0)
	for zone, published := range p.published {
		digest ^= zoneDigest(zone, published.serial)
	}
	return digest
}

// publishItem puts a message into the gossip store under the next serial, which it
// returns.
func publishItem[Message any](p *Publisher, key string, message Message) ids.Version {
	p.sequence++
	serial := FencedSerial(p.epoch, p.sequence)
	if body, err := transport.Marshal(message); err == nil {
		p.Updates.Put(gossip.Item{Key: key, Version: serial, Body: body})
	}
	return serial
}
