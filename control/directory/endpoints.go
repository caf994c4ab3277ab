package directory

import (
	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// endpoint is a router by its client address.
type endpoint struct {
	address ids.Address
	zone    ids.Zone
	region  ids.Region
}

// endpointSet holds the known routers that serve.
type endpointSet struct {
	ready []endpoint
	// degraded are those that reach no runners.
	degraded []endpoint
	// complete is false where a router or a zone may be missing, being unreachable.
	complete bool
}

// endpoints gives the routers of all zones.
func (d *Directory) endpoints() endpointSet {
	known := d.ownZoneEndpoints()
	if d.OtherZones == nil {
		return known
	}
	reachable, unreachable := d.OtherZones()
	for _, zone := range reachable {
		known.ready = append(known.ready, d.zoneEndpoints(zone.Zone, zone.Ready)...)
		known.degraded = append(known.degraded, d.zoneEndpoints(zone.Zone, zone.Degraded)...)
	}
	known.complete = known.complete && len(unreachable) == 0
	return known
}

// ownZoneEndpoints gives the routers of the directory's zone.
func (d *Directory) ownZoneEndpoints() endpointSet {
	zone, known := d.Membership.Self().Zone, endpointSet{complete: true}
	for _, member := range d.Membership.Members() {
		if member.Zone != zone || member.ClientAddress == "" {
			continue
		}
		router := endpoint{address: member.ClientAddress, zone: member.Zone, region: member.Region}
		serving := member.State == membership.Alive && member.Ready
		if serving && member.Degraded {
			known.degraded = append(known.degraded, router)
		} else if serving {
			known.ready = append(known.ready, router)
		}
		if member.State == membership.Removed || member.State == membership.Suspect {
			known.complete = false
		}
	}
	return known
}

func (d *Directory) zoneEndpoints(zone ids.Zone, addresses []ids.Address) []endpoint {
	var routers []endpoint
	for _, address := range addresses {
		routers = append(routers, endpoint{address: address, zone: zone, region: d.Zones[zone]})
	}
	return routers
}

func anyInRegion(region ids.Region, routers []endpoint) bool {
	for _, router := range routers {
		if router.region == region {
			return true
		}
	}
	return false
}
