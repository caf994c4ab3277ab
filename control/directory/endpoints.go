package directory

import (
	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// endpoint is a router's address for clients, with its zone and region.
type endpoint struct {
	address ids.Address
	zone    ids.Zone
	region  ids.Region
}

// endpointSet holds the known routers that serve clients.
type endpointSet struct {
	ready []endpoint
	// degraded holds the routers that reach no runner for some of their routes.
	degraded []endpoint
	// complete is false if routers may be missing because they or their zone may be
	// unreachable.
	complete bool
}

// endpoints returns the serving routers of all zones.
func (d *Directory) endpoints() endpointSet {
	endpoints := d.ownZoneEndpoints()
	if d.OtherZones == nil {
		return endpoints
	}
	reachable, doubtful := d.OtherZones()
	for _, zone := range reachable {
		endpoints.ready = append(endpoints.ready, d.zoneEndpoints(zone.Zone, zone.Ready)...)
		endpoints.degraded = append(endpoints.degraded, d.zoneEndpoints(zone.Zone, zone.Degraded)...)
	}
	endpoints.complete = endpoints.complete && len(doubtful) == 0
	return endpoints
}

// ownZoneEndpoints returns the serving routers of the directory's own zone.
func (d *Directory) ownZoneEndpoints() endpointSet {
	zone, endpoints := d.Membership.Self().Zone, endpointSet{complete: true}
	for _, member := range d.Membership.Members() {
		if member.Zone != zone || member.ClientAddress == "" {
			continue
		}
		router := endpoint{address: member.ClientAddress, zone: member.Zone, region: member.Region}
		serving := member.State == membership.Alive && member.Ready
		if serving && member.Degraded {
			endpoints.degraded = append(endpoints.degraded, router)
		} else if serving {
			endpoints.ready = append(endpoints.ready, router)
		}
		if member.State == membership.Removed || member.State == membership.Suspect {
			endpoints.complete = false
		}
	}
	return endpoints
}

// zoneEndpoints returns the endpoints of routers in a zone, given their addresses.
func (d *Directory) zoneEndpoints(zone ids.Zone, addresses []ids.Address) []endpoint {
	var routers []endpoint
	for _, address := range addresses {
		routers = append(routers, endpoint{address: address, zone: zone, region: d.Zones[zone]})
	}
	return routers
}

// anyInRegion reports whether any of the routers is in the region.
func anyInRegion(region ids.Region, routers []endpoint) bool {
	for _, router := range routers {
		if router.region == region {
			return true
		}
	}
	return false
}
