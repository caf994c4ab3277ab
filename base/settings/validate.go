package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"onyxwell/base/ids"
)

// rule is a condition that settings must meet, with the error text if they do
// not.
type rule struct {
	valid func(*Settings) bool
	text  string
}

var rules = []rule{
	{func(s *Settings) bool { return s.NodeName != "" }, "node_name is missing"},
	{func(s *Settings) bool { _, err := netip.ParseAddr(s.IP); return err == nil }, "ip is not an address"},
	{func(s *Settings) bool { return s.Zone != "" }, "zone is missing"},
	{func(s *Settings) bool { return s.Region != "" }, "region is missing"},
	{func(s *Settings) bool {
		return len(s.PortRange) == 2 && s.PortRange[0] > 0 && s.PortRange[1] < 65536
	}, "port_range wants two ports"},
	{func(s *Settings) bool {
		return len(s.PortRange) != 2 || s.PortRange[1]-s.PortRange[0]+1 >= len(portOffsets)
	}, "port_range is too narrow"},
	{func(s *Settings) bool { return len(s.Seeds) > 0 }, "seed_nodes is empty"},
	{func(s *Settings) bool { return s.Limits.MemoryMB > 0 }, "limits.memory_mb wants a number above 0"},
	{func(s *Settings) bool { return s.Limits.OpenFiles > 0 }, "limits.open_files wants a number above 0"},
	{func(s *Settings) bool { return s.Bounds.RetryWindowS > 0 }, "bounds.retry_window_s wants a number above 0"},
	{func(s *Settings) bool { return s.Bounds.QuotaWindowS > 0 || !slices.Contains(s.Rules, "quota") }, "bounds.quota_window_s wants a number above 0 where rules_in_force has quota"},
	{func(s *Settings) bool { return s.Bounds.QuotaExcess >= 0 && s.Bounds.QuotaSlack >= 0 }, "bounds.quota_excess and bounds.quota_slack want numbers of 0 or more"},
	{func(s *Settings) bool { return s.Bounds.LeaseMS > 0 || !s.asksForDuties() }, "bounds.lease_ms wants a number above 0 where cloud_api.duties has any"},
	{func(s *Settings) bool { return s.Platform.DutiesPerS > 0 || !s.asksForDuties() }, "cloud_api.duties_per_s wants a number above 0 where cloud_api.duties has any"},
	{func(s *Settings) bool { return s.Bounds.UsageWindowS > 0 || !s.HasDuty(UsageDuty) }, "bounds.usage_window_s wants a number above 0 where cloud_api.duties has usage_report"},
	{func(s *Settings) bool { return s.Bounds.UsageLateS > 0 || !s.HasDuty(UsageDuty) }, "bounds.usage_late_s wants a number above 0 where cloud_api.duties has usage_report"},
	{func(s *Settings) bool { return s.Bounds.MergeMS >= 0 }, "bounds.merge_ms wants a number of 0 or more"},
	{func(s *Settings) bool { return s.Bounds.GraceS > 0 }, "bounds.grace_s wants a number above 0"},
	{func(s *Settings) bool { return s.Bounds.ApplyWithinMS > 0 }, "bounds.apply_within_ms wants a number above 0"},
	{func(s *Settings) bool { return s.Platform.RatePerS > 0 }, "cloud_api.rate_per_s wants a number above 0"},
	{func(s *Settings) bool { return validAddress(s.Platform.Address) }, "cloud_api.address is not an address"},
}

// validate returns everything that is wrong with the settings.
func (s *Settings) validate() []error {
	var errs []error
	for _, rule := range rules {
		if !rule.valid(s) {
			errs = append(errs, errors.New(rule.text))
		}
	}
	for index, seed := range s.Seeds {
		if !validAddress(seed) {
			errs = append(errs, fmt.Errorf("seed_nodes[%d]: %q is not an address", index, seed))
		}
	}
	for name, address := range s.Listen {
		if !validAddress(address) {
			errs = append(errs, fmt.Errorf("listen.%s: %q is not an address", name, address))
		}
	}
	return errs
}

// asksForDuties reports whether the boot file asks for a duty that is supported.
func (s *Settings) asksForDuties() bool { return slices.ContainsFunc(supportedDuties, s.HasDuty) }

func validAddress(address ids.Address) bool {
	_, err := netip.ParseAddrPort(string(address))
	return err == nil
}

// RequireListeners returns an error that names the first of the client
// interfaces for which Listen has no address.
func (s *Settings) RequireListeners(names ...string) error {
	for _, name := range names {
		if s.Listen[name] == "" {
			return fmt.Errorf("boot file: listen.%s is missing", name)
		}
	}
	return nil
}
