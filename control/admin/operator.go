// Package admin serves the operator's calls: pairs of question and answer
// that end in an order at the desk.
package admin

import (
	"net/http"
	"regexp"
	"strconv"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/response"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/config/store"
	"onyxwell/control/gossip"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/state/command"
)

// Desk takes orders.
type Desk interface {
	Do(inner scope.Scope, order command.Order) ([]byte, error)
}

// SettingsChange is PUT or PATCH /settings.
type SettingsChange struct{ Change store.Change }

// version is what an If-Match may say: one version, with or without quotes.
var version = regexp.MustCompile(`^(?:(0|[1-9][0-9]*)|"(0|[1-9][0-9]*)")$`)

// Read takes the version that the change builds on and the body.
func (s *SettingsChange) Read(incoming httpcall.Incoming) error {
	matches := incoming.Request.Header.Values("If-Match")
	if len(matches) != 1 {
		return errkind.Of(errkind.BadRequest, "If-Match: stands %d times, not once", len(matches))
	}
	if types := incoming.Request.Header.Values("Content-Type"); len(types) > 1 {
		return errkind.Of(errkind.BadRequest, "Content-Type: stands %d times", len(types))
	}
	found := version.FindStringSubmatch(matches[0])
	if found == nil {
		return errkind.Of(errkind.BadRequest, "If-Match: %q is no version", matches[0])
	}
	match, err := strconv.ParseInt(found[1]+found[2], 10, 64)
	if err != nil {
		return errkind.Of(errkind.BadRequest, "If-Match: %s is above any version", matches[0])
	}
	s.Change = store.Change{
		Whole: incoming.Request.Method == http.MethodPut, Match: ids.Serial(match), Body: incoming.Body,
	}
	return nil
}

// SettingsTaken acknowledges a change.
type SettingsTaken struct{ Serial ids.Serial }

// Reply tells the version that the change made. A repeat is told its own one
// again, whatever came into force since: it acknowledges that order and no
// other.
func (s SettingsTaken) Reply() response.Reply {
	return response.JSON(http.StatusOK, map[string]any{"config_version": s.Serial})
}

// Nothing is a question that has no parts.
type Nothing struct{}

// Read has nothing to read.
func (n *Nothing) Read(httpcall.Incoming) error { return nil }

// Settings is the configuration in force.
type Settings struct{ Document []byte }

// Reply gives the document as it was sent.
func (s Settings) Reply() response.Reply {
	return response.Raw(http.StatusOK, "application/json", s.Document)
}

// ZoneOrder is POST or DELETE /empty/ZONE.
type ZoneOrder struct {
	Zone ids.Zone
	Verb string
}

var zoneVerbs = map[string]string{http.MethodPost: command.VerbEmpty, http.MethodDelete: command.VerbRefill}

// Read takes the zone off the path.
func (z *ZoneOrder) Read(incoming httpcall.Incoming) error {
	z.Zone = ids.Zone(incoming.Tail)
	z.Verb = zoneVerbs[incoming.Request.Method]
	return nil
}

// Rooms is the newest estimate of how much room there is.
type Rooms struct{ Report []byte }

// Reply gives the report.
func (r Rooms) Reply() response.Reply {
	return response.Raw(http.StatusOK, "application/json", r.Report)
}

// ServeRoom adds the call that tells the room of every model family.
func ServeRoom(calls *httpcall.Table, news *gossip.News) {
	httpcall.Handle(calls, http.MethodGet, "/room", func(scope.Scope, Nothing) (Rooms, error) {
		item, found := news.Get(headroom.Key)
		if !found {
			return Rooms{}, errkind.Of(errkind.Unready, "no estimate was made yet")
		}
		return Rooms{Report: item.Body}, nil
	})
}

// Done acknowledges an order.
type Done struct{}

// Reply is empty.
func (Done) Reply() response.Reply { return response.Empty(http.StatusOK) }

// Serve adds the operator's calls to a table.
func Serve(calls *httpcall.Table, front Desk) {
	change := func(ctx scope.Scope, asked SettingsChange) (SettingsTaken, error) {
		_, err := front.Do(ctx, command.Order{Key: config.Key, Verb: command.VerbChange, Change: asked.Change})
		return SettingsTaken{Serial: asked.Change.Serial()}, err
	}
	httpcall.Handle(calls, http.MethodPut, "/settings", change)
	httpcall.Handle(calls, http.MethodPatch, "/settings", change)
	httpcall.Handle(calls, http.MethodGet, "/settings", func(ctx scope.Scope, _ Nothing) (Settings, error) {
		value, err := front.Do(ctx, command.Order{Key: config.Key, Verb: command.VerbRead})
		if err != nil {
			return Settings{}, err
		}
		kept, err := store.ReadKept(value)
		if err == nil && kept.Serial == 0 {
			err = errkind.Of(errkind.Unready, "no spec was taken yet")
		}
		return Settings{Document: kept.Document}, err
	})
	empty := func(ctx scope.Scope, asked ZoneOrder) (Done, error) {
		if _, known := ctx.Boot.Zones[asked.Zone]; !known {
			return Done{}, errkind.Of(errkind.UnknownZone, "%q", asked.Zone)
		}
		_, err := front.Do(ctx, command.Order{Key: evacuation.Key(asked.Zone), Verb: asked.Verb})
		return Done{}, err
	}
	httpcall.Handle(calls, http.MethodPost, "/empty/", empty)
	httpcall.Handle(calls, http.MethodDelete, "/empty/", empty)
}
