package discovery

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/phuslu/log"

	"onyxwell/base/clock"
	"onyxwell/base/random"
	"onyxwell/base/settings"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

const (
	// pollingRelays is how many relays of a zone poll before its other daemons do.
	pollingRelays = 2
	// checksPerInterval is how many times per Interval the view's age is checked.
	checksPerInterval = 4
	// restartDivisor defines the time that a restarted daemon waits for a list
	// before it considers polling: Interval / restartDivisor.
	restartDivisor = 16
	// restartDelayDivisor defines the time that a restarted daemon that is not a
	// polling relay then leaves to the relays: Interval / restartDelayDivisor.
	restartDelayDivisor = 8
)

// Fallback polls the platform on behalf of its own zone while the view is stale,
// because the zone is partitioned from the lease's holder or because the whole
// fleet was down. The zone's first relay polls at once and gossips the list within
// the zone. The second relay polls one Interval later. All other daemons wait two
// Intervals, one for each relay, and then a random time, so that all of them
// together stay within the platform's rate limit. If they were restarted and have
// no list, they wait Interval / restartDelayDivisor instead of two Intervals.
type Fallback struct {
	Platform   *PlatformClient
	View       *View
	Updates    *gossip.Store
	Membership *membership.Table
	Clock      clock.Clock
	Log        *log.Logger
	// RatePerS is the platform's rate limit in calls per second. 0 (no limit) and
	// values below 1 count as 1, since all relays may poll at once.
	RatePerS float64
	// RouterCount estimates the number of routers in the whole fleet.
	RouterCount func() int
	// Interval is the time between two polls by the holder of the discovery lease.
	Interval time.Duration
	// Restarted says that the fleet ran before, so that a list should exist already.
	// At a first start the daemon waits the view's MaxAge for the lease's holder to
	// publish one.
	Restarted bool
}

// Run polls the platform whenever the view is stale, until ctx ends.
func (f *Fallback) Run(ctx context.Context) {
	for clock.Wait(ctx, f.Clock, f.checkInterval()) {
		if !f.due(f.Clock.Now()) || !clock.Wait(ctx, f.Clock, f.pollDelay()) || f.View.Fresh() {
			continue
		}
		f.Poll(ctx)
	}
}

// Poll reads the platform's list once and gossips it within the zone.
func (f *Fallback) Poll(ctx context.Context) {
	f.Log.Info().Str("part", logPart).Msg("endpoint list stale, polling platform for own zone")
	lists, err := f.Platform.List(ctx)
	if err != nil {
		f.Log.Warn().Str("part", logPart).Err(err).Msg("platform poll failed")
		return
	}
	var list List
	for _, zone := range slices.Sorted(maps.Keys(lists)) {
		list.Runners = append(list.Runners, lists[zone].Runners...)
	}
	self := f.Membership.Self()
	if body, err := transport.Marshal(list); err == nil {
		f.Updates.PutNext(LocalKey(self.Zone), self.Address, body)
	}
}

// restartedWithoutList reports whether this daemon was restarted and has no list yet.
func (f *Fallback) restartedWithoutList() bool { return f.Restarted && !f.View.Complete() }

// checkInterval returns the time until the view's age is checked again.
func (f *Fallback) checkInterval() time.Duration {
	if f.restartedWithoutList() {
		return f.Interval / restartDivisor
	}
	return f.Interval / checksPerInterval
}

// due reports whether the list has been missing or unconfirmed for so long that
// the platform is to be polled.
func (f *Fallback) due(now clock.Instant) bool {
	if f.View.Fresh() {
		return false
	}
	maxAge := f.View.options.MaxAge
	if f.restartedWithoutList() {
		maxAge = f.Interval / restartDivisor
	}
	return now.Since(f.View.ConfirmedAt()) >= maxAge
}

// pollDelay returns how long this daemon waits for other members of its zone to
// poll before it polls itself.
func (f *Fallback) pollDelay() time.Duration {
	self := f.Membership.Self()
	relays := f.Membership.Relays(self.Zone, pollingRelays)
	// A router that is its zone's only relay has most likely not contacted any
	// other member yet; once it does, it receives the list by gossip. Therefore it
	// waits as long as a daemon that is not a relay.
	isolated := len(relays) == 1 && !self.ServesControl
	for rank, relay := range relays {
		if relay.Address == self.Address && !isolated {
			return time.Duration(rank) * f.Interval
		}
	}
	jitter := random.Duration(settings.Seconds(rateDivisor * float64(max(1, f.RouterCount())) / max(1, f.RatePerS)))
	if f.restartedWithoutList() {
		return f.Interval/restartDelayDivisor + jitter
	}
	return pollingRelays*f.Interval + jitter
}
