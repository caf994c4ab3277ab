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
	// failuresBorne is how many readings in a row may fail before the duty is
	// given back: another controller may reach the platform.
	failuresBorne = 2
	// quietReadings is after how many readings in a row that found nothing new the
	// list is read half as often.
	quietReadings = 6
	quietFactor   = 2
	// ratePart is the part, one in so many, of the platform's rate that the holder
	// of the duty uses at most.
	ratePart = 2
)

// Reader reads the platform's list while it holds the duty, and makes news of
// the zones whose part changed.
type Reader struct {
	Platform *Platform
	News     *gossip.Store
	// Held tells whether the duty is held, and under which epoch.
	Held func(now clock.Instant) (int64, bool)
	// Resign gives the duty back; it may be left out.
	Resign func(inner scope.Scope)
	// Every is the time from one reading to the next; for a list that is read as a
	// whole it is twice as long while nothing changes.
	Every clock.Span
	// Beat is how often it is told that nothing changed, so that all know that the
	// list is fresh.
	Beat clock.Span

	counter int64
	beaten  clock.Instant
	parts   map[ids.Zone]toldPart
	// epoch is the one under which the parts were told.
	epoch  int64
	failed int
	// quiet counts the readings in a row that found nothing new.
	quiet int
}

// toldPart is a zone's part as it was last told.
type toldPart struct {
	list   List
	serial ids.Serial
}

// Run reads the list until the scope ends.
func (r *Reader) Run(ctx scope.Scope) {
	for spent := clock.Span(0); ctx.Wait(max(r.pause(ctx)-spent, r.Every/restPart)); {
		begin := ctx.Now()
		r.Read(ctx)
		spent = ctx.Now().Since(begin)
	}
}

// restPart is the part, one in so many, of the time for a reading that there is at
// least between two.
const restPart = 4

// pause is the time from one reading to the next: longer where nothing changes, and
// where the pages of one are so many that the platform's rate would be passed.
func (r *Reader) pause(ctx scope.Scope) clock.Span {
	every := r.Every
	if r.quiet >= quietReadings && !r.Platform.ByZone() {
		every *= quietFactor
	}
	rate := ctx.Boot.Platform.RatePerS
	if rate <= 0 {
		return every
	}
	return max(every, clock.Span(float64(ratePart*r.Platform.Calls)/rate*float64(clock.Second)))
}

// Read reads the list once and makes news of what changed.
func (r *Reader) Read(ctx scope.Scope) {
	before, held := r.Held(ctx.Now())
	if !held {
		r.failed, r.quiet = 0, 0
		return
	}
	parts, err := r.Platform.Read(ctx)
	if err != nil {
		ctx.Log.Warn().Str("part", "census").Err(err).Msg("the platform did not answer")
		r.fail(ctx)
		return
	}
	r.failed = 0
	now := ctx.Now()
	epoch, held := r.Held(now)
	if !held || epoch != before {
		return
	}
	r.tell(epoch, parts, now)
}

func (r *Reader) fail(ctx scope.Scope) {
	if r.failed++; r.failed >= failuresBorne && r.Resign != nil {
		r.failed = 0
		ctx.Log.Info().Str("part", "census").Msg("the duty is given back: the platform is not reached from here")
		r.Resign(ctx)
	}
}

// tell makes news of the parts that changed, and now and then of the beat.
// Another may have told newer parts between two holds, or asked for them and be
// frozen since: so a hold begins with all parts under its own epoch.
func (r *Reader) tell(epoch int64, parts map[ids.Zone]List, now clock.Instant) {
	if epoch != r.epoch {
		r.epoch, r.parts = epoch, map[ids.Zone]toldPart{}
		r.addGone(parts)
	}
	changed := false
	for _, zone := range slices.Sorted(maps.Keys(parts)) {
		last, told := r.parts[zone]
		known, _ := r.News.Get(PartKey(zone))
		if told && known.Version == last.serial && parts[zone].sameAs(last.list) {
			continue
		}
		changed = true
		r.parts[zone] = toldPart{list: parts[zone], serial: put(r, PartKey(zone), parts[zone])}
	}
	r.quiet++
	if changed {
		r.quiet = 0
	}
	if changed || now.Since(r.beaten) >= r.Beat {
		r.beaten = now
		put(r, BeatKey, Beat{Digest: r.digest()})
	}
}

// addGone adds zones that others told of and the platform names no more, without
// any runners.
func (r *Reader) addGone(parts map[ids.Zone]List) {
	for _, item := range r.News.WithPrefix(PartPrefix) {
		zone, _ := zoneOf(item.Key)
		if _, listed := parts[zone]; !listed {
			parts[zone] = List{}
		}
	}
}

func (r *Reader) digest() int64 {
	digest := int64(0)
	for zone, part := range r.parts {
		digest ^= partDigest(zone, part.serial)
	}
	return digest
}

// put makes news of a message under the next serial.
func put[Message any](r *Reader, key string, message Message) ids.Serial {
	r.counter++
	serial := SerialOf(r.epoch, r.counter)
	if body, err := transport.Marshal(message); err == nil {
		r.News.Put(gossip.Item{Key: key, Version: serial, Body: body})
	}
	return serial
}
