// Package operator serves the operator's calls: pairs of question and answer
// that end in an order at the desk.
package operator

import (
	"net/http"
	"regexp"
	"strconv"

	"onyxwell/base/call"
	"onyxwell/base/failure"
	"onyxwell/base/ids"
	"onyxwell/base/reply"
	"onyxwell/base/scope"
	"onyxwell/control/desk"
	"onyxwell/control/evacuation"
	"onyxwell/control/revision"
	"onyxwell/control/room"
	"onyxwell/control/spec"
	"onyxwell/control/spread"
)

// Desk takes orders.
type Desk interface {
	Do(inner scope.Scope, order desk.Order) ([]byte, error)
}

// SettingsChange is PUT or PATCH /settings.
type SettingsChange struct{ Change revision.Change }

// version is what an If-Match may say: one version, with or without quotes.
var version = regexp.MustCompile(`^(?:(0|[1-9][0-9]*)|"(0|[1-9][0-9]*)")$`)

// Read takes the version that the change builds on and the body.
func (s *SettingsChange) Read(incoming call.Incoming) error {
	matches := incoming.Request.Header.Values("If-Match")
	if len(matches) != 1 {
		return failure.Of(failure.BadRequest, "If-Match: stands %d times, not once", len(matches))
	}
	if types := incoming.Request.Header.Values("Content-Type"); len(types) > 1 {
		return failure.Of(failure.BadRequest, "Content-Type: stands %d times", len(types))
	}
	found := version.FindStringSubmatch(matches[0])
	if found == nil {
		return failure.Of(failure.BadRequest, "If-Match: %q is no version", matches[0])
	}
	match, err := strconv.ParseInt(found[1]+found[2], 10, 64)
	if err != nil {
		return failure.Of(failure.BadRequest, "If-Match: %s is above any version", matches[0])
	}
	s.Change = revision.Change{
		Whole: incoming.Request.Method == http.MethodPut, Match: ids.Serial(match), Body: incoming.Body,
	}
	return nil
}

// SettingsTaken acknowledges a change.
type SettingsTaken struct{ Serial ids.Serial }

// Reply tells the version that the change made. A repeat is told its own one
// again, whatever came into force since: it acknowledges that order and no
// other.
func (s SettingsTaken) Reply() reply.Reply {
	return reply.JSON(http.StatusOK, map[string]any{"config_version": s.Serial})
}

// Nothing is a question that has no parts.
type Nothing struct{}

// Read has nothing to read.
func (n *Nothing) Read(call.Incoming) error { return nil }

// Settings is the configuration in force.
type Settings struct{ Document []byte }

// Reply gives the document as it was sent.
func (s Settings) Reply() reply.Reply {
	return reply.Raw(http.StatusOK, "application/json", s.Document)
}

// ZoneOrder is POST or DELETE /empty/ZONE.
type ZoneOrder struct {
	Zone ids.Zone
	Verb string
}

var zoneVerbs = map[string]string{http.MethodPost: desk.VerbEmpty, http.MethodDelete: desk.VerbRefill}

// Read takes the zone off the path.
func (z *ZoneOrder) Read(incoming call.Incoming) error {
	z.Zone = ids.Zone(incoming.Tail)
	z.Verb = zoneVerbs[incoming.Request.Method]
	return nil
}

// Rooms is the newest estimate of how much room there is.
type Rooms struct{ Report []byte }

// Reply gives the report.
func (r Rooms) Reply() reply.Reply {
	return reply.Raw(http.StatusOK, "application/json", r.Report)
}

// ServeRoom adds the call that tells the room of every model family.
func ServeRoom(calls *call.Table, news *spread.News) {
	call.Handle(calls, http.MethodGet, "/room", func(scope.Scope, Nothing) (Rooms, error) {
		item, found := news.Get(room.Key)
		if !found {
			return Rooms{}, failure.Of(failure.Unready, "no estimate was made yet")
		}
		return Rooms{Report: item.Body}, nil
	})
}

// Done acknowledges an order.
type Done struct{}

// Reply is empty.
func (Done) Reply() reply.Reply { return reply.Empty(http.StatusOK) }

// Serve adds the operator's calls to a table.
func Serve(calls *call.Table, front Desk) {
	change := func(ctx scope.Scope, asked SettingsChange) (SettingsTaken, error) {
		_, err := front.Do(ctx, desk.Order{Key: spec.Key, Verb: desk.VerbChange, Change: asked.Change})
		return SettingsTaken{Serial: asked.Change.Serial()}, err
	}
	call.Handle(calls, http.MethodPut, "/settings", change)
	call.Handle(calls, http.MethodPatch, "/settings", change)
	call.Handle(calls, http.MethodGet, "/settings", func(ctx scope.Scope, _ Nothing) (Settings, error) {
		value, err := front.Do(ctx, desk.Order{Key: spec.Key, Verb: desk.VerbRead})
		if err != nil {
			return Settings{}, err
		}
		kept, err := revision.ReadKept(value)
		if err == nil && kept.Serial == 0 {
			err = failure.Of(failure.Unready, "no spec was taken yet")
		}
		return Settings{Document: kept.Document}, err
	})
	empty := func(ctx scope.Scope, asked ZoneOrder) (Done, error) {
		if _, known := ctx.Boot.Zones[asked.Zone]; !known {
			return Done{}, failure.Of(failure.UnknownZone, "%q", asked.Zone)
		}
		_, err := front.Do(ctx, desk.Order{Key: evacuation.Key(asked.Zone), Verb: asked.Verb})
		return Done{}, err
	}
	call.Handle(calls, http.MethodPost, "/empty/", empty)
	call.Handle(calls, http.MethodDelete, "/empty/", empty)
}
