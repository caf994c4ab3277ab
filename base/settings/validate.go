package settings

import (
	"fmt"
	"maps"
	"net"
	"net/netip"
	"slices"
	"strconv"

	"onyxwell/base/ids"
)

// Seats give each role its fixed place in the port range; the range is the
// same on every machine, so a seat tells the port of a daemon elsewhere.
var portOffsets = map[string]int{"router": 0, "fleet-controller": 1}

// InternalAddress is where a daemon of the role listens for the system's own
// daemons on the machine of that IP.
func (s *Settings) InternalAddress(ip string, role string) ids.Address {
	return ids.Address(net.JoinHostPort(ip, strconv.Itoa(s.PortRange[0]+portOffsets[role])))
}

// UsesPort tells whether the settings give a port away: to what this process serves,
// to what controllers serve, or to what daemons say to each other.
func (s *Settings) UsesPort(port int) bool {
	if len(s.PortRange) == 2 && port >= s.PortRange[0] && port <= s.PortRange[1] {
		return true
	}
	given := slices.Clone(s.Seeds)
	for _, address := range s.Listen {
		given = append(given, address)
	}
	for _, address := range given {
		parsed, err := netip.ParseAddrPort(string(address))
		if err == nil && int(parsed.Port()) == port {
			return true
		}
	}
	return false
}

// SeedAddresses are the inner addresses of the controllers that the boot file
// names.
func (s *Settings) SeedAddresses() []ids.Address {
	var found []ids.Address
	for _, seed := range s.Seeds {
		parsed, err := netip.ParseAddrPort(string(seed))
		if err == nil {
			found = append(found, s.InternalAddress(parsed.Addr().String(), "fleet-controller"))
		}
	}
	return found
}

// ZoneNames gives the names of all zones in order.
func (s *Settings) ZoneNames() []ids.Zone { return slices.Sorted(maps.Keys(s.Zones)) }

type rule struct {
	valid func(*Settings) bool
	text  string
}

var rules = []rule{
	{func(settings *Settings) bool { return settings.NodeName != "" }, "node_name is missing"},
	{func(settings *Settings) bool { _, err := netip.ParseAddr(settings.IP); return err == nil }, "ip is not an address"},
	{func(settings *Settings) bool { return settings.Zone != "" }, "zone is missing"},
	{func(settings *Settings) bool { return settings.Region != "" }, "region is missing"},
	{func(settings *Settings) bool {
		return len(settings.PortRange) == 2 && settings.PortRange[0] > 0 && settings.PortRange[1] < 65536
	}, "port_range wants two ports"},
	{func(settings *Settings) bool {
		return len(settings.PortRange) != 2 || settings.PortRange[1]-settings.PortRange[0]+1 >= len(portOffsets)
	}, "port_range is too narrow"},
	{func(settings *Settings) bool { return len(settings.Seeds) > 0 }, "seed_nodes is empty"},
	{func(settings *Settings) bool { return settings.Limits.MemoryMB > 0 }, "limits.memory_mb wants a number above 0"},
	{func(settings *Settings) bool { return settings.Limits.OpenFiles > 0 }, "limits.open_files wants a number above 0"},
	{func(settings *Settings) bool { return settings.Bounds.RetryWindowS > 0 }, "bounds.retry_window_s wants a number above 0"},
	{func(settings *Settings) bool { return settings.Bounds.GraceS > 0 }, "bounds.grace_s wants a number above 0"},
	{func(settings *Settings) bool { return settings.Bounds.ApplyWithinMS > 0 }, "bounds.apply_within_ms wants a number above 0"},
	{func(settings *Settings) bool { return settings.Platform.RatePerS > 0 }, "cloud_api.rate_per_s wants a number above 0"},
	{func(settings *Settings) bool { return validAddress(settings.Platform.Address) }, "cloud_api.address is not an address"},
}

func (s *Settings) validate() []error {
	var found []error
	for _, check := range rules {
		if !check.valid(s) {
			found = append(found, fmt.Errorf("%s", check.text))
		}
	}
	for index, seed := range s.Seeds {
		if !validAddress(seed) {
			found = append(found, fmt.Errorf("seed_nodes[%d]: %q is not an address", index, seed))
		}
	}
	for name, address := range s.Listen {
		if !validAddress(address) {
			found = append(found, fmt.Errorf("listen.%s: %q is not an address", name, address))
		}
	}
	return found
}

// RequireListeners tells which of the named listening addresses are missing.
func (s *Settings) RequireListeners(names ...string) error {
	for _, name := range names {
		if s.Listen[name] == "" {
			return fmt.Errorf("boot file: listen.%s is missing", name)
		}
	}
	return nil
}
