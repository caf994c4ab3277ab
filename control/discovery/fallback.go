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

// relaysFirst is how many daemons of a zone read the list before any other does.
const relaysFirst = 2

// Fallback reads the platform's list for its zone where no news of it comes:
// because the zone is cut off from the holder of the duty, or because all daemons
// were down. The zone's first relay reads at once and tells its zone; the second
// waits for it, and all others wait for both, and then for a random while that
// keeps them under the platform's rate together. After a start without any news
// nobody can be waited for long, and the random while is all there is.
type Fallback struct {
	Platform *Platform
	View     *View
	News     *gossip.Store
	Table    *membership.Table
	// Routers is how many routers there could be.
	Routers func() int
	// Every is the time between two readings by the holder of the duty.
	Every clock.Span
	// Hurry says that others should have the list already: at a first start, the
	// holder is waited for.
	Hurry bool
}

// looksAtView is how many looks there are in the time between two readings.
const looksAtView = 4

// Run looks after the list until the scope ends.
func (f *Fallback) Run(ctx scope.Scope) {
	for ctx.Wait(f.pause()) {
		if !f.due(ctx.Now()) || !ctx.Wait(f.turn(ctx)) || f.View.Fresh() {
			continue
		}
		f.Read(ctx)
	}
}

const (
	// hurryPart is the part, one in so many, of the time between two readings that
	// passes before a daemon which starts anew thinks of reading the list itself.
	hurryPart = 16
	// hurryTurn is the part that one which is no relay waits for others then.
	hurryTurn = 8
)

// hurries tells whether this daemon starts anew and has no list yet.
func (f *Fallback) hurries() bool { return f.Hurry && !f.View.Whole() }

// pause is the time until the next look at the list.
func (f *Fallback) pause() clock.Span {
	if f.hurries() {
		return f.Every / hurryPart
	}
	return f.Every / looksAtView
}

// due tells whether the list is missing or too old.
func (f *Fallback) due(now clock.Instant) bool {
	if f.View.Fresh() {
		return false
	}
	patience := f.View.options.Patience
	if f.hurries() {
		patience = f.Every / hurryPart
	}
	return now.Since(f.View.Confirmed()) >= patience
}

// turn is how long this daemon leaves the reading to others of its zone.
func (f *Fallback) turn(ctx scope.Scope) clock.Span {
	self := f.Table.Self()
	relays := f.Table.Relays(self.Zone, relaysFirst)
	// A router that knows nobody yet is no relay: somebody will tell it the list.
	alone := len(relays) == 1 && !self.ServesControl
	for place, relay := range relays {
		if relay.Address == self.Address && !alone {
			return clock.Span(place) * f.Every
		}
	}
	crowd := settings.Seconds(ratePart * float64(max(1, f.Routers())) / max(1, ctx.Boot.Platform.RatePerS))
	if f.hurries() {
		return f.Every/hurryTurn + random.Part(crowd)
	}
	return relaysFirst*f.Every + random.Part(crowd)
}

// Read reads the list once and tells it to the zone.
func (f *Fallback) Read(ctx scope.Scope) {
	ctx.Log.Info().Str("part", "census").Msg("no news of it: the platform is asked from here")
	parts, err := f.Platform.Read(ctx)
	if err != nil {
		ctx.Log.Warn().Str("part", "census").Err(err).Msg("the platform did not answer")
		return
	}
	var list List
	for _, zone := range slices.Sorted(maps.Keys(parts)) {
		list.Runners = append(list.Runners, parts[zone].Runners...)
	}
	self := f.Table.Self()
	if body, err := transport.Marshal(list); err == nil {
		f.News.PutNext(LocalKey(self.Zone), self.Address, body)
	}
}
