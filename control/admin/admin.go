// Package admin implements the HTTP API of a controller for operators and
// applications: configuration, drained zones, headroom, rollouts, parts of duties and
// counters. Each handler decodes a request, makes one call, such as a command to the
// dispatcher, and encodes the result. Errors are mapped to responses by their kind, as
// defined in package errkind. The package stores no data of its own.
package admin

import (
	"context"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/response"
	"onyxwell/base/telemetry"
	"onyxwell/control/config"
	"onyxwell/control/config/evacuation"
	"onyxwell/control/config/store"
	"onyxwell/control/gossip"
	"onyxwell/control/planning/headroom"
	"onyxwell/control/state/command"
)

// Paths of the API. A path that ends with a slash is followed by a name.
const (
	configPath   = "/settings"
	zonePath     = "/empty/"
	headroomPath = "/room"
)

// maxOrderBytes is the largest body of all calls but changes of the configuration.
const maxOrderBytes = 64 << 10

// Dispatcher routes commands to the owners of their keys.
type Dispatcher interface {
	// Dispatch executes a command and returns the register's value after it.
	Dispatch(ctx context.Context, cmd command.Command) ([]byte, error)
}

// Options holds the dependencies of the handlers that Serve registers.
type Options struct {
	Log        *log.Logger
	Dispatcher Dispatcher
	// Zones are the zones of the deployment, with their regions.
	Zones map[ids.Zone]ids.Region
	// MaxDecodedBytes is the most memory that a change of the configuration may take once
	// it is decoded; 0 is no limit.
	MaxDecodedBytes int64
	// Metrics may be nil.
	Metrics *telemetry.Metrics
}

// Serve registers the handlers for reading and changing the configuration and for
// draining zones.
func Serve(calls *httpcall.Mux, options Options) {
	a := &api{log: options.Log, dispatcher: options.Dispatcher, zones: options.Zones, maxDecodedBytes: options.MaxDecodedBytes}
	options.Metrics.CounterFunc("unsupported_changes_total", "Acknowledged changes of the configuration with fields that no router acts on.", nil,
		func() float64 { return float64(a.unsupportedChanges.Load()) })
	httpcall.Handle(calls, http.MethodPut, configPath, a.changeConfig)
	httpcall.Handle(calls, http.MethodPatch, configPath, a.changeConfig)
	httpcall.Handle(calls, http.MethodGet, configPath, a.readConfig)
	httpcall.HandleLimited(calls, http.MethodPost, zonePath, maxOrderBytes, a.setZone)
	httpcall.HandleLimited(calls, http.MethodDelete, zonePath, maxOrderBytes, a.setZone)
}

// ServeHeadroom registers the handler that returns the newest headroom report received
// by gossip.
func ServeHeadroom(calls *httpcall.Mux, updates *gossip.Store) {
	httpcall.Handle(calls, http.MethodGet, headroomPath, func(context.Context, EmptyRequest) (HeadroomResponse, error) {
		item, ok := updates.Get(headroom.ReportKey)
		if !ok {
			return HeadroomResponse{}, errkind.Errorf(errkind.NotReady, "no headroom report is available yet")
		}
		return HeadroomResponse{Report: item.Body}, nil
	})
}

// api holds the dependencies and the state of the handlers that Serve registers.
type api struct {
	log        *log.Logger
	dispatcher Dispatcher
	zones      map[ids.Zone]ids.Region
	// maxDecodedBytes is Options.MaxDecodedBytes.
	maxDecodedBytes int64

	unsupportedChanges atomic.Int64
	mu                 sync.Mutex
	// lastLogged holds the unsupported fields in the last log line about them; mu guards
	// it.
	lastLogged []string
}

func (a *api) changeConfig(ctx context.Context, req ConfigChangeRequest) (ConfigChangeResponse, error) {
	// The owner of the configuration checks it too, but may be of an earlier build.
	if err := store.CheckDecodedSize(req.Change.Body, a.maxDecodedBytes); err != nil {
		return ConfigChangeResponse{}, err
	}
	if _, err := a.dispatcher.Dispatch(ctx, command.Command{Key: config.Key, Verb: command.VerbChange, Change: req.Change}); err != nil {
		return ConfigChangeResponse{}, err
	}
	resp := ConfigChangeResponse{Version: req.Change.Version(), Unsupported: req.Change.UnsupportedFields()}
	a.reportUnsupported(resp)
	return resp, nil
}

// reportUnsupported counts a change with fields that have no effect on routers, and logs
// the fields unless they are the same as in the last such log line.
func (a *api) reportUnsupported(resp ConfigChangeResponse) {
	if len(resp.Unsupported) == 0 {
		return
	}
	a.unsupportedChanges.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.Equal(a.lastLogged, resp.Unsupported) {
		return
	}
	a.lastLogged = resp.Unsupported
	a.log.Warn().Str("part", "admin").Int64("config_version", int64(resp.Version)).Strs("fields", resp.Unsupported).
		Msg("configuration has unsupported fields")
}

func (a *api) readConfig(ctx context.Context, _ EmptyRequest) (ConfigResponse, error) {
	value, err := a.dispatcher.Dispatch(ctx, command.Command{Key: config.Key, Verb: command.VerbRead})
	if err != nil {
		return ConfigResponse{}, err
	}
	record, err := store.DecodeExisting(value)
	return ConfigResponse{Document: record.Document}, err
}

func (a *api) setZone(ctx context.Context, req ZoneRequest) (EmptyResponse, error) {
	if _, ok := a.zones[req.Zone]; !ok {
		return EmptyResponse{}, errkind.Errorf(errkind.UnknownZone, "%q", req.Zone)
	}
	_, err := a.dispatcher.Dispatch(ctx, command.Command{Key: evacuation.Key(req.Zone), Verb: req.Verb})
	return EmptyResponse{}, err
}

// ConfigChangeRequest is a PUT /settings request with a whole document, or a PATCH
// /settings request with a patch. The If-Match header states the base version.
type ConfigChangeRequest struct{ Change store.Change }

// versionPattern matches the value of an If-Match header: one version, with or without
// quotes.
var versionPattern = regexp.MustCompile(`^(?:(0|[1-9][0-9]*)|"(0|[1-9][0-9]*)")$`)

// Decode reads the base version from the If-Match header. It does not parse the body.
func (c *ConfigChangeRequest) Decode(incoming httpcall.Incoming) error {
	ifMatch := incoming.Request.Header.Values("If-Match")
	if len(ifMatch) != 1 {
		return errkind.Errorf(errkind.BadRequest, "If-Match: header is present %d times, must be present once", len(ifMatch))
	}
	if types := incoming.Request.Header.Values("Content-Type"); len(types) > 1 {
		return errkind.Errorf(errkind.BadRequest, "Content-Type: header is present %d times", len(types))
	}
	groups := versionPattern.FindStringSubmatch(ifMatch[0])
	if groups == nil {
		return errkind.Errorf(errkind.BadRequest, "If-Match: %q is not a version", ifMatch[0])
	}
	version, err := strconv.ParseInt(groups[1]+groups[2], 10, 64)
	if err != nil {
		return errkind.Errorf(errkind.BadRequest, "If-Match: version %s is out of range", ifMatch[0])
	}
	c.Change = store.Change{
		Full: incoming.Request.Method == http.MethodPut, BaseVersion: ids.Version(version), Body: incoming.Body,
	}
	return nil
}

// ConfigChangeResponse acknowledges a change with the version that it resulted in. A
// change that is sent again gets its own version again, even if a newer one is current
// by then.
type ConfigChangeResponse struct {
	Version ids.Version `json:"config_version"`
	// Unsupported are the paths of the fields in the change that have no effect on
	// routers.
	Unsupported []string `json:"unsupported_fields,omitempty"`
}

// Response returns the version and the unsupported fields as JSON.
func (c ConfigChangeResponse) Response() response.Response { return response.JSON(http.StatusOK, c) }

// ConfigResponse is the current configuration document.
type ConfigResponse struct{ Document []byte }

// Response returns the document as it is stored.
func (c ConfigResponse) Response() response.Response {
	return response.Raw(http.StatusOK, "application/json", c.Document)
}

// ZoneRequest is a POST /empty/ZONE request, which drains the zone, or a DELETE
// /empty/ZONE request, which ends the drain.
type ZoneRequest struct {
	Zone ids.Zone
	Verb string
}

var zoneVerbByMethod = map[string]string{http.MethodPost: command.VerbDrain, http.MethodDelete: command.VerbUndrain}

// Decode reads the zone from the path, and derives the command verb from the method.
func (z *ZoneRequest) Decode(incoming httpcall.Incoming) error {
	z.Zone = ids.Zone(incoming.Tail)
	z.Verb = zoneVerbByMethod[incoming.Request.Method]
	return nil
}

// HeadroomResponse is a headroom report as JSON.
type HeadroomResponse struct{ Report []byte }

// Response returns the report unchanged.
func (h HeadroomResponse) Response() response.Response {
	return response.Raw(http.StatusOK, "application/json", h.Report)
}

// EmptyRequest is a request without parameters.
type EmptyRequest struct{}

// Decode ignores the request, which has no parameters.
func (e *EmptyRequest) Decode(httpcall.Incoming) error { return nil }

// EmptyResponse acknowledges a request that has no result.
type EmptyResponse struct{}

// Response returns status 200 with an empty body.
func (EmptyResponse) Response() response.Response { return response.Empty(http.StatusOK) }
