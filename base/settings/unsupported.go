package settings

import "slices"

// What the programs keep of a deployment. An entry is added with the code for it.
var (
	// supportedRules are parts of the service level rules.
	supportedRules = []string{
		"base", "drain", "config", "cost", "retry", "recover", "health", "pool", "engine", "stream", "places", "tenants", "quota", "apart", "leader", "conn", "pressure", RolloutRule,
	}
	supportedDuties = []string{UsageDuty, ScalingDuty}
	// supportedDiscovery and supportedEntry are where the list of runners comes from
	// and how clients find routers; an empty value is taken for the first.
	supportedDiscovery = []string{"", "cloud"}
	supportedEntry     = []string{"", "directory", "shared_address"}
)

// Unsupported returns what the file asks for and the programs do not do, each as
// FIELD=VALUE, in the order of the fields here. The programs start all the same.
func (s *Settings) Unsupported() []string {
	var unsupported []string
	for _, rule := range s.Rules {
		if !slices.Contains(supportedRules, rule) {
			unsupported = append(unsupported, "rules_in_force="+rule)
		}
	}
	for _, duty := range s.Platform.Duties {
		if !slices.Contains(supportedDuties, duty) {
			unsupported = append(unsupported, "cloud_api.duties="+duty)
		}
	}
	if !slices.Contains(supportedDiscovery, s.Discovery) {
		unsupported = append(unsupported, "discovery="+s.Discovery)
	}
	if !slices.Contains(supportedEntry, s.Entry) {
		unsupported = append(unsupported, "entry="+s.Entry)
	}
	return unsupported
}
