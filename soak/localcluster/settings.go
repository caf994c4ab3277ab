package localcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Bounds that the boot files promise to keep.
const (
	// ApplyWithin is how long after its acknowledgement a configuration is in force
	// at every router, EvacuateWithin how long after that of an evacuation the zone
	// gets no more requests.
	ApplyWithin = 3 * time.Second
	// MergeWithin is how long after a partition every controller knows all adds to
	// counters.
	MergeWithin    = 3 * time.Second
	EvacuateWithin = 5 * time.Second
	// RecoverWithin is how long after the last fault everything is served again,
	// CatchUpWithin how long a controller with an empty disk needs to be a replica
	// again.
	RecoverWithin = 12 * time.Second
	CatchUpWithin = 4 * time.Second
)

// What may run of a tenant in a window beyond its quota, as the boot files have it.
const (
	QuotaWindowS = 5.0
	QuotaExcess  = 0.1
	QuotaSlack   = 100.0
)

// Duties, as the boot files have them.
const (
	// LeaseTime is the time within which a duty's calls must not go from one holder to
	// another and back.
	LeaseTime = 2 * time.Second
	// UsageWindow is the length of the windows of usage, UsageLate how long after its end
	// a window's report is due.
	UsageWindow = 2 * time.Second
	UsageLate   = 8 * time.Second
)

// What a bad version of a service may get, as the boot files have it: of the requests between
// an order and its term this part, and so many more. RollbackWithin is how long after some bad
// responses it may still get requests.
const (
	BadShare       = 0.1
	BadSlack       = 50.0
	RollbackWithin = 5 * time.Second
)

// Bandwidth in Mbit/s that the boot files state.
const (
	controllerLinkMbps = 100
	routerLinkMbps     = 10
)

// Settings returns the text of a machine's boot file. firstStart says that the
// whole cluster starts for the first time.
func (l Layout) Settings(machine Machine, dataDir string, firstStart bool, seeds []string) string {
	zones := l.AllZones()
	var text strings.Builder
	fmt.Fprintf(&text, "node_name = %q\nzone = %q\nregion = %q\nip = %q\nport_range = [%d, %d]\nfirst_start = %v\ndata_dir = %q\nrules_in_force = [\"base\", \"tenants\", \"quota\", \"apart\", \"leader\", \"rollout\"]\n",
		machine.Name(), machine.Zone.Name, machine.Zone.Region, machine.IP, FirstPort, LastPort, firstStart, dataDir)
	fmt.Fprintf(&text, "seed_nodes = [\"%s\"]\n[zones]\n", strings.Join(seeds, `", "`))
	for _, zone := range zones {
		fmt.Fprintf(&text, "%s = %q\n", zone.Name, zone.Region)
	}
	text.WriteString("[listen]\n")
	linkMbps := routerLinkMbps
	if machine.Number == 0 {
		linkMbps = controllerLinkMbps
		fmt.Fprintf(&text, "control = %q\ndirectory = %q\n", machine.Address(ControlPort), machine.Address(DirectoryPort))
	} else {
		fmt.Fprintf(&text, "front = %q\nreadiness = %q\n", machine.Address(FrontPort), machine.Address(ReadyPort))
	}
	toleratedMachines := min(2, (len(zones)-1)/2)
	fmt.Fprintf(&text, sharedSettings, l.MemoryMB, linkMbps, toleratedMachines, ApplyWithin.Milliseconds(), CatchUpWithin.Seconds(),
		EvacuateWithin.Milliseconds(), l.GraceS, QuotaWindowS, QuotaExcess, QuotaSlack, MergeWithin.Milliseconds(), RecoverWithin.Seconds(),
		LeaseTime.Milliseconds(), UsageWindow.Seconds(), UsageLate.Seconds(),
		BadShare, BadSlack, RollbackWithin.Milliseconds(), l.PlatformAddress())
	return text.String()
}

// sharedSettings are the sections that all boot files have.
const sharedSettings = `[limits]
memory_mb = %d
open_files = 4100
link_mbps = %d
[tolerate]
machines = %d
zones = 1
regions = 1
[bounds]
in_touch_ms = 4000
apply_within_ms = %d
ack_within_ms = 5000
catch_up_s = %g
drain_ms = 4000
evacuate_ms = %d
grace_s = %g
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 60
quota_window_s = %g
quota_excess = %g
quota_slack = %g
ttl_max_s = 5
merge_ms = %d
recovery_s = %g
lease_ms = %d
usage_window_s = %g
usage_late_s = %g
usage_error = 0.05
bad_share = %g
bad_slack = %g
rollback_ms = %d
[cloud_api]
address = %q
duties = ["usage_report", "scaling"]
duties_per_s = 50
rate_per_s = 1000
max_lag_ms = 200
`

// WriteSettings writes a machine's boot file for its first start and creates its
// empty data directory, both below dir/NAME, and returns the file's path.
func (l Layout) WriteSettings(dir string, machine Machine) (string, error) {
	machineDir := filepath.Join(dir, machine.Name())
	dataDir := filepath.Join(machineDir, "data")
	if err := os.MkdirAll(dataDir, 0o755); err != nil {
		return "", err
	}
	path := filepath.Join(machineDir, "boot.toml")
	return path, os.WriteFile(path, []byte(l.Settings(machine, dataDir, true, l.Seeds())), 0o644)
}
