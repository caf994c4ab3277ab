package discovery

import (
	"maps"
	"slices"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/gossip"
	"onyxwell/control/transport"
)

const (
	// maxFailures is how many readings in a row may fail before the duty is
	// given back: another controller may reach the platform.
	maxFailures = 2
	// unchangedThreshold is after how many readings in a row that found nothing new the
	// list is read half as often.
	unchangedThreshold = 6
	unchangedBackoff   = 2
	// rateDivisor is the part, one in so many, of the platform's rate that the holder
	// of the duty uses at most.
	rateDivisor = 2
)

// Publisher reads the platform's list while it holds the duty, and makes news of
// the zones whose part changed.
type Publisher struct {
	Platform *PlatformClient
	Updates  *gossip.Store
	// Held tells whether the duty is held, and under which epoch.
	Held func(now clock.Instant) (int64, bool)
	// Resign gives the duty back; it may be left out.
	Resign func(inner scope.Scope)
	// Interval is the time from one reading to the next; for a list that is read as a
	// whole it is twice as long while nothing changes.
	Interval clock.Span
	// HeartbeatInterval is how often it is told that nothing changed, so that all know that the
	// list is fresh.
	HeartbeatInterval clock.Span

	sequence      int64
	lastHeartbeat clock.Instant
	published     map[ids.Zone]publishedZone
	// epoch is the one under which the parts were told.
	epoch    int64
	failures int
	// unchanged counts the readings in a row that found nothing new.
	unchanged int
}

// publishedZone is a zone's part as it was last told.
type publishedZone struct {
	list   List
	serial ids.Serial
}

// Run reads the list until the scope ends.
func (p *Publisher) Run(ctx scope.Scope) {
	for spent := clock.Span(0); ctx.Wait(max(p.delay(ctx)-spent, p.Interval/minDelayDivisor)); {
		begin := ctx.Now()
		p.Poll(ctx)
		spent = ctx.Now().Since(begin)
	}
}

// minDelayDivisor is the part, one in so many, of the time for a reading that there is at
// least between two.
const minDelayDivisor = 4

// delay is the time from one reading to the next: longer where nothing changes, and
// where the pages of one are so many that the platform's rate would be passed.
func (p *Publisher) delay(ctx scope.Scope) clock.Span {
	every := p.Interval
	if p.unchanged >= unchangedThreshold && !p.Platform.ByZone() {
		every *= unchangedBackoff
	}
	rate := ctx.Settings.Platform.RatePerS
	if rate <= 0 {
		return every
	}
	return max(every, clock.Span(float64(rateDivisor*p.Platform.LastPages)/rate*float64(clock.Second)))
}

// Poll reads the list once and makes news of what changed.
func (p *Publisher) Poll(ctx scope.Scope) {
	before, held := p.Held(ctx.Now())
	if !held {
		p.failures, p.unchanged = 0, 0
		return
	}
	parts, err := p.Platform.List(ctx)
	if err != nil {
		ctx.Log.Warn().Str("part", "census").Err(err).Msg("the platform did not answer")
		p.recordFailure(ctx)
		return
	}
	p.failures = 0
	now := ctx.Now()
	epoch, held := p.Held(now)
	if !held || epoch != before {
		return
	}
	p.publish(epoch, parts, now)
}

func (p *Publisher) recordFailure(ctx scope.Scope) {
	if p.failures++; p.failures >= maxFailures && p.Resign != nil {
		p.failures = 0
		ctx.Log.Info().Str("part", "census").Msg("the duty is given back: the platform is not reached from here")
		p.Resign(ctx)
	}
}

// publish makes news of the parts that changed, and now and then of the beat.
// Another may have told newer parts between two holds, or asked for them and be
// frozen since: so a hold begins with all parts under its own epoch.
func (p *Publisher) publish(epoch int64, parts map[ids.Zone]List, now clock.Instant) {
	if epoch != p.epoch {
		p.epoch, p.published = epoch, map[ids.Zone]publishedZone{}
		p.addRemovedZones(parts)
	}
	changed := false
	for _, zone := range slices.Sorted(maps.Keys(parts)) {
		last, told := p.published[zone]
		known, _ := p.Updates.Get(ZoneKey(zone))
		if told && known.Version == last.serial && parts[zone].equivalent(last.list) {
			continue
		}
		changed = true
		p.published[zone] = publishedZone{list: parts[zone], serial: publishItem(p, ZoneKey(zone), parts[zone])}
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

// addRemovedZones adds zones that others told of and the platform names no more, without
// any runners.
func (p *Publisher) addRemovedZones(parts map[ids.Zone]List) {
	for _, item := range p.Updates.WithPrefix(ZoneKeyPrefix) {
		zone, _ := zoneOfKey(item.Key)
		if _, listed := parts[zone]; !listed {
			parts[zone] = List{}
		}
	}
}

func (p *Publisher) digest() int64 {
	digest := int64(0)
	for zone, part := range p.published {
		digest ^= zoneDigest(zone, part.serial)
	}
	return digest
}

// publishItem makes news of a message under the next serial.
func publishItem[Message any](r *Publisher, key string, message Message) ids.Serial {
	r.sequence++
	serial := FencedSerial(r.epoch, r.sequence)
	if body, err := transport.Marshal(message); err == nil {
		r.Updates.Put(gossip.Item{Key: key, Version: serial, Body: body})
	}
	return serial
}
