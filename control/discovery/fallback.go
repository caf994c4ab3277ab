package discovery

import (
	"maps"
	"slices"

	"onyxwell/base/clock"
	"onyxwell/base/random"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/transport"
)

// relayReaders is how many daemons of a zone read the list before any other does.
const relayReaders = 2

// Fallback reads the platform's list for its zone where no news of it comes:
// because the zone is cut off from the holder of the duty, or because all daemons
// were down. The zone's first relay reads at once and tells its zone; the second
// waits for it, and all others wait for both, and then for a random while that
// keeps them under the platform's rate together. After a start without any news
// nobody can be waited for long, and the random while is all there is.
type Fallback struct {
	Platform   *PlatformClient
	View       *View
	Updates    *gossip.Store
	Membership *membership.Table
	// RouterCount is how many routers there could be.
	RouterCount func() int
	// Interval is the time between two readings by the holder of the duty.
	Interval clock.Span
	// Restart says that others should have the list already: at a first start, the
	// holder is waited for.
	Restart bool
}

// checksPerInterval is how many looks there are in the time between two readings.
const checksPerInterval = 4

// Run looks after the list until the scope ends.
func (f *Fallback) Run(ctx scope.Scope) {
	for ctx.Wait(f.checkInterval()) {
		if !f.due(ctx.Now()) || !ctx.Wait(f.startDelay(ctx)) || f.View.Fresh() {
			continue
		}
		f.Poll(ctx)
	}
}

const (
	// restartDivisor is the part, one in so many, of the time between two readings that
	// passes before a daemon which starts anew thinks of reading the list itself.
	restartDivisor = 16
	// restartDelayDivisor is the part that one which is no relay waits for others then.
	restartDelayDivisor = 8
)

// restarting tells whether this daemon starts anew and has no list yet.
func (f *Fallback) restarting() bool { return f.Restart && !f.View.Complete() }

// checkInterval is the time until the next look at the list.
func (f *Fallback) checkInterval() clock.Span {
	if f.restarting() {
		return f.Interval / restartDivisor
	}
	return f.Interval / checksPerInterval
}

// due tells whether the list is missing or too old.
func (f *Fallback) due(now clock.Instant) bool {
	if f.View.Fresh() {
		return false
	}
	patience := f.View.options.MaxAge
	if f.restarting() {
		patience = f.Interval / restartDivisor
	}
	return now.Since(f.View.ConfirmedAt()) >= patience
}

// startDelay is how long this daemon leaves the reading to others of its zone.
func (f *Fallback) startDelay(ctx scope.Scope) clock.Span {
	self := f.Membership.Self()
	relays := f.Membership.Relays(self.Zone, relayReaders)
	// A router that knows nobody yet is no relay: somebody will tell it the list.
	alone := len(relays) == 1 && !self.ServesControl
	for place, relay := range relays {
		if relay.Address == self.Address && !alone {
			return clock.Span(place) * f.Interval
		}
	}
	crowd := settings.Seconds(rateDivisor * float64(max(1, f.RouterCount())) / max(1, ctx.Settings.Platform.RatePerS))
	if f.restarting() {
		return f.Interval/restartDelayDivisor + random.Duration(crowd)
	}
	return relayReaders*f.Interval + random.Duration(crowd)
}

// Poll reads the list once and tells it to the zone.
func (f *Fallback) Poll(ctx scope.Scope) {
	ctx.Log.Info().Str("part", "census").Msg("no news of it: the platform is asked from here")
	parts, err := f.Platform.List(ctx)
	if err != nil {
		ctx.Log.Warn().Str("part", "census").Err(err).Msg("the platform did not answer")
		return
	}
	var list List
	for _, zone := range slices.Sorted(maps.Keys(parts)) {
		list.Runners = append(list.Runners, parts[zone].Runners...)
	}
	self := f.Membership.Self()
	if body, err := transport.Marshal(list); err == nil {
		f.Updates.PutNext(LocalKey(self.Zone), self.Address, body)
	}
}
