package settings

import (
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"onyxwell/base/ids"
)

// controllerRole is the role whose daemons the seeds name.
const controllerRole = "fleet-controller"

// portOffsets gives each role its port, counted from the start of the port
// range. The range is the same on every machine, so that a role and an IP
// determine an address.
var portOffsets = map[string]int{"router": 0, controllerRole: 1}

// InternalAddress returns the address at which the role's daemon on the machine
// with that IP listens for other daemons.
func (s *Settings) InternalAddress(ip string, role string) ids.Address {
	return ids.Address(net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]+portOffsets[role])))
}

// UsesPort reports whether the settings assign the port: it is in the range for
// daemons, is a port of a seed, or is listened on for clients.
func (s *Settings) UsesPort(port int) bool {
	if len(s.PortRange) == 2 && port >= s.PortRange[0] && port <= s.PortRange[1] {
		return true
	}
	used := func(address ids.Address) bool {
		parsed, err := netip.ParseAddrPort(string(address))
		return err == nil && int(parsed.Port()) == port
	}
	return slices.ContainsFunc(s.Seeds, used) || slices.ContainsFunc(slices.Collect(maps.Values(s.Listen)), used)
}

// SeedAddresses returns the internal addresses of the controllers in Seeds.
func (s *Settings) SeedAddresses() []ids.Address {
	var addresses []ids.Address
	for _, seed := range s.Seeds {
		parsed, err := netip.ParseAddrPort(string(seed))
		if err == nil {
			addresses = append(addresses, s.InternalAddress(parsed.Addr().String(), controllerRole))
		}
	}
	return addresses
}

// ZoneNames returns the names of all zones in ascending order.
func (s *Settings) ZoneNames() []ids.Zone { return slices.Sorted(maps.Keys(s.Zones)) }
