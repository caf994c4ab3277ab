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
var seats = map[string]int{"router": 0, "fleet-controller": 1}

// InnerAddress is where a daemon of the role listens for the system's own
// daemons on the machine of that IP.
func (b *Boot) InnerAddress(ip string, role string) ids.Address {
	return ids.Address(net.JoinHostPort(ip, strconv.Itoa(b.PortRange[0]+seats[role])))
}

// Uses tells whether the settings give a port away: to what this process serves,
// to what controllers serve, or to what daemons say to each other.
func (b *Boot) Uses(port int) bool {
	if len(b.PortRange) == 2 && port >= b.PortRange[0] && port <= b.PortRange[1] {
		return true
	}
	given := slices.Clone(b.Seeds)
	for _, address := range b.Listen {
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
func (b *Boot) SeedAddresses() []ids.Address {
	var found []ids.Address
	for _, seed := range b.Seeds {
		parsed, err := netip.ParseAddrPort(string(seed))
		if err == nil {
			found = append(found, b.InnerAddress(parsed.Addr().String(), "fleet-controller"))
		}
	}
	return found
}

// ZoneNames gives the names of all zones in order.
func (b *Boot) ZoneNames() []ids.Zone { return slices.Sorted(maps.Keys(b.Zones)) }

type check struct {
	holds func(*Boot) bool
	text  string
}

var checks = []check{
	{func(settings *Boot) bool { return settings.NodeName != "" }, "node_name is missing"},
	{func(settings *Boot) bool { _, err := netip.ParseAddr(settings.IP); return err == nil }, "ip is not an address"},
	{func(settings *Boot) bool { return settings.Zone != "" }, "zone is missing"},
	{func(settings *Boot) bool { return settings.Region != "" }, "region is missing"},
	{func(settings *Boot) bool {
		return len(settings.PortRange) == 2 && settings.PortRange[0] > 0 && settings.PortRange[1] < 65536
	}, "port_range wants two ports"},
	{func(settings *Boot) bool {
		return len(settings.PortRange) != 2 || settings.PortRange[1]-settings.PortRange[0]+1 >= len(seats)
	}, "port_range is too narrow"},
	{func(settings *Boot) bool { return len(settings.Seeds) > 0 }, "seed_nodes is empty"},
	{func(settings *Boot) bool { return settings.Limits.MemoryMB > 0 }, "limits.memory_mb wants a number above 0"},
	{func(settings *Boot) bool { return settings.Limits.OpenFiles > 0 }, "limits.open_files wants a number above 0"},
	{func(settings *Boot) bool { return settings.Bounds.RetryWindowS > 0 }, "bounds.retry_window_s wants a number above 0"},
	{func(settings *Boot) bool { return settings.Bounds.GraceS > 0 }, "bounds.grace_s wants a number above 0"},
	{func(settings *Boot) bool { return settings.Bounds.ApplyWithinMS > 0 }, "bounds.apply_within_ms wants a number above 0"},
	{func(settings *Boot) bool { return settings.Platform.RatePerS > 0 }, "cloud_api.rate_per_s wants a number above 0"},
	{func(settings *Boot) bool { return validAddress(settings.Platform.Address) }, "cloud_api.address is not an address"},
}

func (b *Boot) problems() []error {
	var found []error
	for _, check := range checks {
		if !check.holds(b) {
			found = append(found, fmt.Errorf("%s", check.text))
		}
	}
	for index, seed := range b.Seeds {
		if !validAddress(seed) {
			found = append(found, fmt.Errorf("seed_nodes[%d]: %q is not an address", index, seed))
		}
	}
	for name, address := range b.Listen {
		if !validAddress(address) {
			found = append(found, fmt.Errorf("listen.%s: %q is not an address", name, address))
		}
	}
	return found
}

// Require tells which of the named listening addresses are missing.
func (b *Boot) Require(names ...string) error {
	for _, name := range names {
		if b.Listen[name] == "" {
			return fmt.Errorf("boot file: listen.%s is missing", name)
		}
	}
	return nil
}
