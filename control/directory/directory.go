// Package directory answers a client's look-up with the routers to connect to:
// those of its own zone where there are any, else those of its region. Clients
// are redirected out of their region only while it is known to be lost, as
// regionTracker keeps it.
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
	// maxAddresses is how many addresses a client reads.
	maxAddresses = 64
	// MaxTTLSeconds bounds how long a client may keep a response, in seconds.
	MaxTTLSeconds = 1
)

// LookupRequest is GET /lookup: where the client is.
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

// LookupResponse gives the client addresses of routers, and for how many seconds
// they hold.
type LookupResponse struct {
	Addresses []ids.Address `json:"addresses"`
	TTLS      float64       `json:"ttl_s"`
}

// Response encodes the response; without addresses it is a 503, so that the client
// asks another directory or stays with what it has.
func (l LookupResponse) Response() response.Response {
	if len(l.Addresses) == 0 {
		return response.Empty(http.StatusServiceUnavailable)
	}
	return response.JSON(http.StatusOK, l)
}

// Directory answers look-ups from the members of its own zone and from the router
// endpoints that the relays of the other zones publish. It is safe for concurrent
// use once its fields are set.
type Directory struct {
	Membership *membership.Table
	// OtherZones gives the router endpoints of the other zones, and those zones that
	// may be unreachable; a zone may be in both. It may be nil.
	OtherZones func() (endpoints []zonesummary.RouterEndpoints, doubtful []ids.Zone)
	// Zones gives the region of each zone of the deployment.
	Zones map[ids.Zone]ids.Region
	// LossTimeout is how long a region may be without a ready router, for no known
	// reason, before it counts as lost.
	LossTimeout time.Duration
	// TTLMaxS is the settings' bound on a response's lifetime in seconds; the
	// shorter of it and MaxTTLSeconds is answered.
	TTLMaxS float64
	// Metrics and Monitor may be nil.
	Metrics *telemetry.Metrics
	Monitor *invariant.Monitor

	regions regionTracker
}

// Serve adds GET /lookup to a mux.
func (d *Directory) Serve(mux *httpcall.Mux) {
	httpcall.Handle(mux, http.MethodGet, "/lookup", func(_ context.Context, req LookupRequest) (LookupResponse, error) {
		return LookupResponse{Addresses: d.Choose(req), TTLS: min(MaxTTLSeconds, d.TTLMaxS)}, nil
	})
}

// locality is a set of routers by where they stand relative to a client. Its name
// is the label of the look-ups' metric.
type locality struct {
	name     string
	contains func(endpoint, LookupRequest) bool
}

var (
	// localities are those that need no reason, the nearest first.
	localities = []locality{
		{"zone", func(router endpoint, req LookupRequest) bool { return router.zone == req.Zone }},
		{"region", func(router endpoint, req LookupRequest) bool { return router.region == req.Region }},
	}
	// anywhere holds all routers; only clients of a lost region are sent there.
	anywhere = locality{"away", func(endpoint, LookupRequest) bool { return true }}
)

// noLocality is the metric's label of look-ups without an answer.
const noLocality = "none"

// Choose gives the client addresses of the routers of the nearest locality that
// has any ready one. Degraded routers, which reach no runners, are chosen only
// where no router is ready and none is unreachable. It gives none where the
// client's own region has no ready router and is not known to be lost: one whose
// routers start, leave gracefully or were not heard of yet is not.
func (d *Directory) Choose(req LookupRequest) []ids.Address {
	endpoints, now := d.endpoints(), d.Membership.Now()
	if name, addresses := nearest(endpoints.ready, req); len(addresses) > 0 {
		d.regions.markReady(req.Region, now)
		return d.countLookup(name, addresses)
	}
	candidates := endpoints.ready
	if len(endpoints.ready) == 0 && endpoints.complete {
		// No router anywhere is better than the degraded ones nearby.
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

// nearest chooses from the first of the localities that has any of the routers.
func nearest(routers []endpoint, req LookupRequest) (name string, addresses []ids.Address) {
	for _, candidate := range localities {
		if addresses := candidate.choose(routers, req); len(addresses) > 0 {
			return candidate.name, addresses
		}
	}
	return noLocality, nil
}

// choose gives the client addresses of up to maxAddresses routers of the locality.
func (l locality) choose(routers []endpoint, req LookupRequest) []ids.Address {
	var addresses []ids.Address
	for _, router := range routers {
		if l.contains(router, req) && len(addresses) < maxAddresses {
			addresses = append(addresses, router.address)
		}
	}
	return addresses
}

func (d *Directory) countLookup(name string, addresses []ids.Address) []ids.Address {
	d.Metrics.CountLookup(name)
	return addresses
}
