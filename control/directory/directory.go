// Package directory answers clients' look-ups with the routers to connect to: those
// of the client's zone if there are any, otherwise those of its region. Clients are
// redirected out of their region only while it is known to be lost, which
// regionTracker records.
package directory

import (
	"context"
	"net/http"
	"time"

	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/base/response"
	"onyxwell/base/telemetry"
	"onyxwell/control/membership"
	"onyxwell/control/membership/zonesummary"
)

const (
	// maxAddresses is the maximum number of addresses in a response; clients read no
	// more.
	maxAddresses = 64
	// MaxTTLSeconds is the maximum time for which a client may cache a response, in
	// seconds.
	MaxTTLSeconds = 1
)

// LookupRequest is the query of GET /lookup: the region and the zone of the client.
type LookupRequest struct {
	Region ids.Region
	Zone   ids.Zone
}

// Decode implements httpcall.RequestReader.
func (l *LookupRequest) Decode(incoming httpcall.Incoming) error {
	query := incoming.Request.URL.Query()
	l.Region, l.Zone = ids.Region(query.Get("region")), ids.Zone(query.Get("zone"))
	return nil
}

// LookupResponse holds the routers' addresses for clients. TTLS is the time in
// seconds for which the client may cache them.
type LookupResponse struct {
	Addresses []ids.Address `json:"addresses"`
	TTLS      float64       `json:"ttl_s"`
}

// Response encodes the response. Without addresses it has status 503, so that the
// client asks another directory or keeps the addresses that it has.
func (l LookupResponse) Response() response.Response {
	if len(l.Addresses) == 0 {
		return response.Empty(http.StatusServiceUnavailable)
	}
	return response.JSON(http.StatusOK, l)
}

// Directory answers look-ups from the members of its own zone and from the router
// endpoints that the relays of the other zones publish. Its exported fields are set
// before the first use; after that it is safe for concurrent use.
type Directory struct {
	Membership *membership.Table
	// OtherZones returns the router endpoints of the other reachable zones, and the
	// doubtful zones, which may be unreachable. A zone may be in both. OtherZones may be
	// nil.
	OtherZones func() (reachable []zonesummary.RouterEndpoints, doubtful []ids.Zone)
	// Zones maps each zone of the deployment to its region.
	Zones map[ids.Zone]ids.Region
	// LossTimeout is the time after which a region without a ready router counts as
	// lost even without evidence of a failure.
	LossTimeout time.Duration
	// TTLMaxS is the configured maximum of a response's TTL, in seconds. The response
	// has the lesser of it and MaxTTLSeconds.
	TTLMaxS float64
	// Metrics and Monitor may be nil.
	Metrics *telemetry.Metrics
	Monitor *invariant.Monitor

	regions regionTracker
}

// Serve registers the handler of GET /lookup with a mux.
func (d *Directory) Serve(mux *httpcall.Mux) {
	httpcall.Handle(mux, http.MethodGet, "/lookup", func(_ context.Context, req LookupRequest) (LookupResponse, error) {
		return LookupResponse{Addresses: d.Choose(req), TTLS: min(MaxTTLSeconds, d.TTLMaxS)}, nil
	})
}

// locality selects routers by their location relative to a client. Its name is the
// label value of the look-up metric.
type locality struct {
	name     string
	contains func(endpoint, LookupRequest) bool
}

var (
	// localities are those that a client is sent to without further conditions, the
	// nearest first.
	localities = []locality{
		{"zone", func(router endpoint, req LookupRequest) bool { return router.zone == req.Zone }},
		{"region", func(router endpoint, req LookupRequest) bool { return router.region == req.Region }},
	}
	// anywhere selects all routers; only clients of a lost region are sent there.
	anywhere = locality{"away", func(endpoint, LookupRequest) bool { return true }}
)

// noLocality is the metric's label value for look-ups that found no router.
const noLocality = "none"

// Choose returns the client addresses of the routers in the nearest locality that
// has a ready one. Degraded routers, which reach no runner for some of their routes,
// are chosen only if no known router is ready and none may be unreachable.
//
// Otherwise, if the client's region has no ready router, Choose returns routers of
// other regions if the region is lost, and none if it is not known to be. A region
// is not known to be lost just because its routers are starting, are leaving
// gracefully or are not known yet.
func (d *Directory) Choose(req LookupRequest) []ids.Address {
	endpoints, now := d.endpoints(), d.Membership.Now()
	if name, addresses := nearest(endpoints.ready, req); len(addresses) > 0 {
		if region, ok := d.findRegion(req.Region); ok {
			d.regions.markReady(region, now)
		}
		return d.countLookup(name, addresses)
	}
	candidates := endpoints.ready
	if len(endpoints.ready) == 0 && endpoints.complete {
		// No router is ready and none may be missing from the set, so the nearest
		// degraded ones are the best choice.
		if name, addresses := nearest(endpoints.degraded, req); len(addresses) > 0 {
			return d.countLookup(name, addresses)
		}
		candidates = endpoints.degraded
	}
	if !d.isLost(req.Region, endpoints.degraded, now) {
		return d.countLookup(noLocality, nil)
	}
	addresses := anywhere.choose(candidates, req)
	d.checkRedirect(req, addresses)
	if len(addresses) == 0 {
		return d.countLookup(noLocality, nil)
	}
	return d.countLookup(anywhere.name, addresses)
}

// nearest returns the name and the chosen addresses of the first of the localities
// that contains any of the routers.
func nearest(routers []endpoint, req LookupRequest) (name string, addresses []ids.Address) {
	for _, candidate := range localities {
		if addresses := candidate.choose(routers, req); len(addresses) > 0 {
			return candidate.name, addresses
		}
	}
	return noLocality, nil
}

// choose returns the client addresses of the first routers in the locality, up to
// maxAddresses.
func (l locality) choose(routers []endpoint, req LookupRequest) []ids.Address {
	var addresses []ids.Address
	for _, router := range routers {
		if l.contains(router, req) && len(addresses) < maxAddresses {
			addresses = append(addresses, router.address)
		}
	}
	return addresses
}

// countLookup counts a look-up under the name of a locality and returns addresses
// unchanged.
func (d *Directory) countLookup(name string, addresses []ids.Address) []ids.Address {
	d.Metrics.CountLookup(name)
	return addresses
}
