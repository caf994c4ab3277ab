// Package settings reads and checks the boot file, the TOML file that tells a
// process about its machine, its limits and its first peers before it starts.
//
// Settings are read-only once parsed: a changed file is parsed into a new
// Settings value. Names in the file are part of the deployment's interface and
// live in the toml tags; unknown names are ignored.
package settings

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"onyxwell/base/ids"
)

// PathVariable is the environment variable that holds the boot file's path.
const PathVariable = "ONYXWELL_NODE_FILE"

// DefaultPath is the boot file's path where PathVariable is unset.
const DefaultPath = "/etc/onyxwell/boot.toml"

// Settings is a parsed boot file. A field absent from the file has its zero
// value; Parse rejects a file that lacks a required one.
type Settings struct {
	// NodeName names the machine in the output of the check command. Required.
	NodeName string `toml:"node_name"`
	// Role is the process's role in the deployment. Unused.
	Role string `toml:"role"`
	// MachineClass is the class of the machine. Unused.
	MachineClass string `toml:"machine_class"`
	// Serves lists the client interfaces of the process. Unused: Listen says which
	// are served, and where.
	Serves []string `toml:"serves"`
	// IP is the machine's address, on which daemons reach each other. Required.
	IP string `toml:"ip"`
	// Zone and Region are the failure domains that the machine is in. Required.
	Zone   ids.Zone   `toml:"zone"`
	Region ids.Region `toml:"region"`
	// PortRange holds the first and the last port for traffic between daemons. It
	// is the same on every machine. Required.
	PortRange []int `toml:"port_range"`
	// Seeds are the control addresses of the first controllers to contact. At
	// least one is required.
	Seeds []ids.Address `toml:"seed_nodes"`
	// FirstStart says that the deployment starts for the first time, with empty
	// disks: only then may controllers form a new voter group. Default false.
	FirstStart bool `toml:"first_start"`
	// Counted says whether Tolerate.Machines applies to this machine. Unused.
	Counted bool `toml:"counted"`
	// DataDir is the directory of a controller's stored state. Routers store
	// nothing.
	DataDir string `toml:"data_dir"`
	// HeartbeatMS is a heartbeat interval in milliseconds. Unused.
	HeartbeatMS int `toml:"beat_every_ms"`
	// Discovery says where the list of runners comes from, Entry how clients find
	// routers; see Unsupported.
	Discovery string `toml:"discovery"`
	Entry     string `toml:"entry"`
	// Rules names the parts of the service level rules in force; see Unsupported.
	Rules []string `toml:"rules_in_force"`
	// Zones maps every zone of the deployment to its region.
	Zones map[ids.Zone]ids.Region `toml:"zones"`
	// Listen maps a client interface (front, readiness, control, directory) to the
	// address it is served at. One that is absent is not served.
	Listen map[string]ids.Address `toml:"listen"`
	// Limits are the resources of the process.
	Limits Limits `toml:"limits"`
	// Tolerate is the loss that the deployment must bear.
	Tolerate Tolerance `toml:"tolerate"`
	// Bounds are the figures of the service level rules.
	Bounds Bounds `toml:"bounds"`
	// Platform is the API that lists the runners.
	Platform Platform `toml:"cloud_api"`
	// Unread are the names of the file's fields that are not read, sorted.
	Unread []string `toml:"-"`
	// Grouping has runners grouped by the expected duration of their requests. It
	// is set by the command line, not by the file. Default false.
	Grouping bool `toml:"-"`
	// Metrics is where the daemon's metrics are served. It is set by the command
	// line, not by the file. Default nowhere.
	Metrics MetricsEndpoint `toml:"-"`
}

// MetricsEndpoint is the port and the path at which metrics are served. Port 0
// means that they are not served.
type MetricsEndpoint struct {
	Port int
	Path string
}

// UnmarshalText parses PORT/PATH, such as 19464/metrics. The command line
// parser calls it.
func (m *MetricsEndpoint) UnmarshalText(text []byte) error {
	portText, path, ok := strings.Cut(string(text), "/")
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil || port == 0 || !ok || path == "" || strings.ContainsAny(path, " {}") {
		return fmt.Errorf("%q is no PORT/PATH such as 19464/metrics", text)
	}
	m.Port, m.Path = int(port), "/"+path
	return nil
}

// Limits are the resources that the machine grants the process.
type Limits struct {
	// CPUShare is the fraction of one core that the process gets. Unused.
	CPUShare float64 `toml:"cpu_share"`
	// Cores is the speed of a core relative to the reference. Unused.
	Cores float64 `toml:"cores"`
	// MemoryMB is the memory above which the process is killed, in MiB. The Go
	// memory limit and the quotas for bodies are fractions of it. Above 0.
	MemoryMB int64 `toml:"memory_mb"`
	// OpenFiles is the number of file descriptors. It bounds client connections
	// and idle connections to each runner. Above 0.
	OpenFiles int `toml:"open_files"`
	// LinkMbps is the bandwidth of the machine's link in Mbit/s. Machines with
	// more are preferred as gossip relays.
	LinkMbps float64 `toml:"link_mbps"`
	// DiskMB is the size of the data directory's disk in MiB; a quarter of it
	// bounds the write-ahead log.
	DiskMB int64 `toml:"disk_mb"`
}

// Tolerance is how much may be lost at the same time without loss of service.
type Tolerance struct {
	// Machines is the number of machines with a disk. The voter group has
	// 2*Machines+1 members, and at least 3.
	Machines int `toml:"machines"`
	// Zones and Regions are numbers of whole failure domains. Unused.
	Zones   int `toml:"zones"`
	Regions int `toml:"regions"`
}

// Bounds are the figures of the service level rules, from which time-outs,
// intervals and budgets are derived. The suffix of a name gives its unit: MS for
// milliseconds, S for seconds; the others are plain numbers. "Unused" marks a
// figure that the rules state and no time-out depends on.
type Bounds struct {
	// SeedLagS is how far the operator's list of controllers may be behind. The
	// boot file is polled no more often than that.
	SeedLagS float64 `toml:"seed_lag_s"`
	// ReuseAfterS is after how long an ended runner's address may be given to
	// another service's runner. Unused.
	ReuseAfterS float64 `toml:"reuse_after_s"`
	// InTouchMS is for how long a machine must have been reachable before the
	// rules bind it. The membership's probes and suspicion, the duration of leases
	// and the time-out of peers are fractions of it. Default ApplyWithinMS.
	InTouchMS float64 `toml:"in_touch_ms"`
	// AckWithinMS is the time in which an operator's command is acknowledged.
	// Unused.
	AckWithinMS float64 `toml:"ack_within_ms"`
	// CatchUpS is for how long after its return a machine still counts as lost.
	// The intervals and time-outs for replacing voters are fractions of it.
	// Default three durations of a lease.
	CatchUpS float64 `toml:"catch_up_s"`
	// DrainMS is the time in which requests stop going to a draining runner. The
	// interval of discovery is a sixth of it. Default ApplyWithinMS.
	DrainMS float64 `toml:"drain_ms"`
	// GraceS is the time between SIGTERM and SIGKILL. Above 0.
	GraceS float64 `toml:"grace_s"`
	// LostSlackMS is how long after the last byte of a request its loss may still
	// be blamed on planned work. Unused.
	LostSlackMS float64 `toml:"lost_slack_ms"`
	// ApplyWithinMS is the time in which a configuration or a changed boot file
	// takes effect on every machine. The intervals of gossip and the time-outs of
	// commands are fractions of it. Above 0.
	ApplyWithinMS float64 `toml:"apply_within_ms"`
	// DowngradeMS is for how long an older configuration may show its effect after
	// a newer one did. Unused.
	DowngradeMS float64 `toml:"downgrade_ms"`
	// StretchMS is by how much an unavailable quorum may extend the other bounds.
	// Unused.
	StretchMS float64 `toml:"stretch_ms"`
	// RetryRatio, RetryWindowS and RetryExtra are the retry budget of all routers:
	// in a window of RetryWindowS, RetryRatio retries for each request, and
	// RetryExtra more that the routers share. RetryWindowS is above 0.
	RetryRatio   float64 `toml:"retry_ratio"`
	RetryWindowS float64 `toml:"retry_window_s"`
	RetryExtra   float64 `toml:"retry_extra"`
	// QuotaWindowS, QuotaExcess and QuotaSlack say how far the requests of a tenant
	// may exceed its quota: in a window of QuotaWindowS by QuotaExcess of it, and by
	// QuotaSlack more. How much credit relays and routers hold follows from them.
	// QuotaWindowS is above 0 where Rules has "quota".
	QuotaWindowS float64 `toml:"quota_window_s"`
	QuotaExcess  float64 `toml:"quota_excess"`
	QuotaSlack   float64 `toml:"quota_slack"`
	// RevokedFail has a router that is cut off serve no keys from RevokeMS on: any may have
	// been revoked.
	RevokedFail bool    `toml:"revoked_fail"`
	RevokeMS    float64 `toml:"revoke_ms"`
	// Fenced says that the platform refuses calls whose fence is lower than one that it
	// has seen. Unused: calls are made as if it took them all.
	Fenced bool `toml:"fenced"`
	// LeaseMS is the time within which a duty's calls must not go from one holder to
	// another and back; a new holder waits for it. ThawSlackMS is for how long after a
	// machine was frozen or cut off late calls are tolerated. Unused.
	LeaseMS     float64 `toml:"lease_ms"`
	ThawSlackMS float64 `toml:"thaw_slack_ms"`
	// UsageWindowS is the length of the windows of usage reports, UsageLateS how long
	// after its end a window's report is due, UsageError by how much a count may be off.
	// LeaseMS, UsageWindowS and UsageLateS are above 0 where the duties need them.
	UsageWindowS float64 `toml:"usage_window_s"`
	UsageLateS   float64 `toml:"usage_late_s"`
	UsageError   float64 `toml:"usage_error"`
	// BadShare and BadSlack bound the exposure to a bad version: of the requests that reach
	// a service between the order of a rollout and its term, the part that may go to it, and
	// so many more. RollbackMS is the time in which requests stop going to it once it has
	// given bad responses; permits to send to a new version are fractions of it.
	BadShare   float64 `toml:"bad_share"`
	BadSlack   float64 `toml:"bad_slack"`
	RollbackMS float64 `toml:"rollback_ms"`
	// ColdExcess and ColdSlack bound the requests in a second to a runner that is
	// warming up: its rate times ColdExcess, and ColdSlack more. Unused.
	ColdExcess float64 `toml:"cold_excess"`
	ColdSlack  float64 `toml:"cold_slack"`
	// EvacuateMS is the time in which requests stop going to an evacuated zone.
	// Unused.
	EvacuateMS float64 `toml:"evacuate_ms"`
	// RecoveryS is the time in which service is back after all processes were
	// lost. A region whose routers are unreachable for that long counts as lost.
	RecoveryS float64 `toml:"recovery_s"`
	// MergeMS is the time in which, after a partition, every controller knows all adds to
	// counters. The intervals of their exchange are fractions of it. Default
	// ApplyWithinMS.
	MergeMS float64 `toml:"merge_ms"`
	// StepMS is by how much a router may delay a piece of a stream. Unused.
	StepMS float64 `toml:"step_ms"`
	// TTLMaxS bounds the time for which clients may cache the directory's answer;
	// the directory grants a second at most.
	TTLMaxS float64 `toml:"ttl_max_s"`
}

// Platform is the API of the platform that lists the runners.
type Platform struct {
	// Address is where it is served. Required.
	Address ids.Address `toml:"address"`
	// RatePerS is how many calls a second the whole deployment may make. Above 0.
	RatePerS float64 `toml:"rate_per_s"`
	// MaxLagMS is how far the list may be behind, in milliseconds.
	MaxLagMS float64 `toml:"max_lag_ms"`
	// Duties are the calls that one daemon at a time is to make; see Unsupported.
	Duties []string `toml:"duties"`
	// DutiesPerS is how many of them the whole deployment may make in a second. Above 0
	// where Duties has any.
	DutiesPerS float64 `toml:"duties_per_s"`
}

// The duties, as the boot file names them.
const (
	UsageDuty   = "usage_report"
	ScalingDuty = "scaling"
)

// RolloutRule is the part of the service level rules that has rollouts of new versions.
const RolloutRule = "rollout"

// HasRule reports whether a part of the service level rules is in force.
func (s *Settings) HasRule(name string) bool { return slices.Contains(s.Rules, name) }

// HasDuty reports whether the boot file asks for a duty.
func (s *Settings) HasDuty(name string) bool { return slices.Contains(s.Platform.Duties, name) }

// Path returns the boot file's path: the value of PathVariable, else DefaultPath.
func Path() string {
	if path := os.Getenv(PathVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Read parses the boot file at path; see Parse for its errors.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("boot file: %w", err)
	}
	return Parse(string(text))
}

// Parse parses and validates the text of a boot file. The error joins everything
// that is wrong with it, each by the name of the field.
func Parse(text string) (*Settings, error) {
	settings := &Settings{}
	metadata, err := toml.Decode(text, settings)
	if err != nil {
		return nil, fmt.Errorf("boot file: %w", err)
	}
	for _, key := range metadata.Undecoded() {
		settings.Unread = append(settings.Unread, key.String())
	}
	slices.Sort(settings.Unread)
	if err := errors.Join(settings.validate()...); err != nil {
		return nil, fmt.Errorf("boot file: %w", err)
	}
	return settings, nil
}

// Milliseconds converts a figure in milliseconds to a duration.
func Milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// Seconds converts a figure in seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
