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
	// pollingRelays is how many relays of a zone may poll before any other daemon.
	pollingRelays = 2
	// checksPerInterval is how often in an interval the view's age is checked.
	checksPerInterval = 4
	// restartDivisor is the part of the interval, one in so many, after which a
	// restarted daemon without a list considers polling.
	restartDivisor = 16
	// restartDelayDivisor is the part of the interval that a restarted daemon which
	// is no relay leaves to others first.
	restartDelayDivisor = 8
)

// Fallback polls the platform for its own zone while the view is stale: the zone
// is cut off from the lease's holder, or the whole fleet was down. The zone's
// first relay polls at once and gossips the list within the zone; the second
// leaves it an interval to do so, and all other daemons wait for both and then
// for a random time that keeps them together within the platform's rate limit.
// After a restart without a list only the random time is left.
type Fallback struct {
	Platform   *PlatformClient
	View       *View
	Updates    *gossip.Store
	Membership *membership.Table
	Clock      clock.Clock
	Log        *log.Logger
	// RatePerS is the platform's rate limit in calls a second; 0 (no limit) and
	// anything below 1 count as 1, since all relays may poll at once.
	RatePerS float64
	// RouterCount estimates the routers of the whole fleet.
	RouterCount func() int
	// Interval is the time between two polls by the lease's holder.
	Interval time.Duration
	// Restarted says that the fleet ran before, so that a list should exist already.
	// At a first start the lease's holder is waited for.
	Restarted bool
}

// Run keeps the view from going stale until ctx ends.
func (f *Fallback) Run(ctx context.Context) {
	for clock.Wait(ctx, f.Clock, f.checkInterval()) {
		if !f.due(f.Clock.Now()) || !clock.Wait(ctx, f.Clock, f.pollDelay()) || f.View.Fresh() {
			continue
		}
		f.Poll(ctx)
	}
}

// Poll reads the list once and gossips it within the zone.
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

// checkInterval is the time until the view's age is checked again.
func (f *Fallback) checkInterval() time.Duration {
	if f.restartedWithoutList() {
		return f.Interval / restartDivisor
	}
	return f.Interval / checksPerInterval
}

// due reports whether the list is missing or stale.
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

// pollDelay is how long this daemon leaves the poll to others of its zone.
func (f *Fallback) pollDelay() time.Duration {
	self := f.Membership.Self()
	relays := f.Membership.Relays(self.Zone, pollingRelays)
	// A router that is its zone's only relay has most likely met nobody yet;
	// once it does, it is told the list.
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
