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

// Dispatcher takes orders.
type Dispatcher interface {
	Dispatch(inner scope.Scope, order command.Command) ([]byte, error)
}

// ConfigChangeRequest is PUT or PATCH /settings.
type ConfigChangeRequest struct{ Change store.Change }

// versionPattern is what an If-Match may say: one version, with or without quotes.
var versionPattern = regexp.MustCompile(`^(?:(0|[1-9][0-9]*)|"(0|[1-9][0-9]*)")$`)

// Read takes the version that the change builds on and the body.
func (c *ConfigChangeRequest) Read(incoming httpcall.Incoming) error {
	matches := incoming.Request.Header.Values("If-Match")
	if len(matches) != 1 {
		return errkind.Errorf(errkind.BadRequest, "If-Match: stands %d times, not once", len(matches))
	}
	if types := incoming.Request.Header.Values("Content-Type"); len(types) > 1 {
		return errkind.Errorf(errkind.BadRequest, "Content-Type: stands %d times", len(types))
	}
	found := versionPattern.FindStringSubmatch(matches[0])
	if found == nil {
		return errkind.Errorf(errkind.BadRequest, "If-Match: %q is no version", matches[0])
	}
	match, err := strconv.ParseInt(found[1]+found[2], 10, 64)
	if err != nil {
		return errkind.Errorf(errkind.BadRequest, "If-Match: %s is above any version", matches[0])
	}
	c.Change = store.Change{
		Full: incoming.Request.Method == http.MethodPut, BaseVersion: ids.Serial(match), Body: incoming.Body,
	}
	return nil
}

// ConfigChangeResponse acknowledges a change.
type ConfigChangeResponse struct{ Version ids.Serial }

// Reply tells the version that the change made. A repeat is told its own one
// again, whatever came into force since: it acknowledges that order and no
// other.
func (c ConfigChangeResponse) Reply() response.Response {
	return response.JSON(http.StatusOK, map[string]any{"config_version": c.Version})
}

// EmptyRequest is a question that has no parts.
type EmptyRequest struct{}

// Read has nothing to read.
func (e *EmptyRequest) Read(httpcall.Incoming) error { return nil }

// ConfigResponse is the configuration in force.
type ConfigResponse struct{ Document []byte }

// Reply gives the document as it was sent.
func (c ConfigResponse) Reply() response.Response {
	return response.Raw(http.StatusOK, "application/json", c.Document)
}

// ZoneRequest is POST or DELETE /empty/ZONE.
type ZoneRequest struct {
	Zone ids.Zone
	Verb string
}

var zoneVerbs = map[string]string{http.MethodPost: command.VerbDrain, http.MethodDelete: command.VerbUndrain}

// Read takes the zone off the path.
func (z *ZoneRequest) Read(incoming httpcall.Incoming) error {
	z.Zone = ids.Zone(incoming.Tail)
	z.Verb = zoneVerbs[incoming.Request.Method]
	return nil
}

// HeadroomResponse is the newest estimate of how much room there is.
type HeadroomResponse struct{ Report []byte }

// Reply gives the report.
func (h HeadroomResponse) Reply() response.Response {
	return response.Raw(http.StatusOK, "application/json", h.Report)
}

// ServeHeadroom adds the call that tells the room of every model family.
func ServeHeadroom(calls *httpcall.Mux, news *gossip.Store) {
	httpcall.Handle(calls, http.MethodGet, "/room", func(scope.Scope, EmptyRequest) (HeadroomResponse, error) {
		item, found := news.Get(headroom.Key)
		if !found {
			return HeadroomResponse{}, errkind.Errorf(errkind.NotReady, "no estimate was made yet")
		}
		return HeadroomResponse{Report: item.Body}, nil
	})
}

// EmptyResponse acknowledges an order.
type EmptyResponse struct{}

// Reply is empty.
func (EmptyResponse) Reply() response.Response { return response.Empty(http.StatusOK) }

// Serve adds the operator's calls to a table.
func Serve(calls *httpcall.Mux, front Dispatcher) {
	change := func(ctx scope.Scope, asked ConfigChangeRequest) (ConfigChangeResponse, error) {
		_, err := front.Dispatch(ctx, command.Command{Key: config.Key, Verb: command.VerbChange, Change: asked.Change})
		return ConfigChangeResponse{Version: asked.Change.Version()}, err
	}
	httpcall.Handle(calls, http.MethodPut, "/settings", change)
	httpcall.Handle(calls, http.MethodPatch, "/settings", change)
	httpcall.Handle(calls, http.MethodGet, "/settings", func(ctx scope.Scope, _ EmptyRequest) (ConfigResponse, error) {
		value, err := front.Dispatch(ctx, command.Command{Key: config.Key, Verb: command.VerbRead})
		if err != nil {
			return ConfigResponse{}, err
		}
		kept, err := store.Decode(value)
		if err == nil && kept.Version == 0 {
			err = errkind.Errorf(errkind.NotReady, "no spec was taken yet")
		}
		return ConfigResponse{Document: kept.Document}, err
	})
	empty := func(ctx scope.Scope, asked ZoneRequest) (EmptyResponse, error) {
		if _, known := ctx.Settings.Zones[asked.Zone]; !known {
			return EmptyResponse{}, errkind.Errorf(errkind.UnknownZone, "%q", asked.Zone)
		}
		_, err := front.Dispatch(ctx, command.Command{Key: evacuation.Key(asked.Zone), Verb: asked.Verb})
		return EmptyResponse{}, err
	}
	httpcall.Handle(calls, http.MethodPost, "/empty/", empty)
	httpcall.Handle(calls, http.MethodDelete, "/empty/", empty)
}
