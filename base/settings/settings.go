// Package settings reads and checks the boot file: what a process is told of its
// machine, its bounds and its neighbours before it starts.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"onyxwell/base/ids"
)

// PathVariable names the environment variable that holds the boot file's path.
const PathVariable = "ONYXWELL_NODE_FILE"

// DefaultPath is the path used where the variable is not set.
const DefaultPath = "/etc/onyxwell/boot.toml"

// Settings is the boot file as read. Fields that are not known are ignored.
type Settings struct {
	NodeName     string                  `toml:"node_name"`
	Role         string                  `toml:"role"`
	MachineClass string                  `toml:"machine_class"`
	Serves       []string                `toml:"serves"`
	IP           string                  `toml:"ip"`
	Zone         ids.Zone                `toml:"zone"`
	Region       ids.Region              `toml:"region"`
	PortRange    []int                   `toml:"port_range"`
	Seeds        []ids.Address           `toml:"seed_nodes"`
	FirstStart   bool                    `toml:"first_start"`
	Counted      bool                    `toml:"counted"`
	DataDir      string                  `toml:"data_dir"`
	HeartbeatMS  int                     `toml:"beat_every_ms"`
	Rules        []string                `toml:"rules_in_force"`
	Zones        map[ids.Zone]ids.Region `toml:"zones"`
	Listen       map[string]ids.Address  `toml:"listen"`
	Limits       Limits                  `toml:"limits"`
	Tolerate     Tolerance               `toml:"tolerate"`
	Bounds       Bounds                  `toml:"bounds"`
	Platform     Platform                `toml:"cloud_api"`
	// Grouping is of the command line.
	Grouping bool `toml:"-"`
	// Metrics is where the daemon's figures are served; it is of the command line.
	Metrics MetricsEndpoint `toml:"-"`
}

// MetricsEndpoint is a port and a path; port 0 is nowhere.
type MetricsEndpoint struct {
	Port int
	Path string
}

// UnmarshalText reads PORT/PATH, as in 19464/metrics; kong calls it.
func (m *MetricsEndpoint) UnmarshalText(text []byte) error {
	port, path, found := strings.Cut(string(text), "/")
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 || !found || path == "" || strings.ContainsAny(path, " {}") {
		return fmt.Errorf("%q is no PORT/PATH such as 19464/metrics", text)
	}
	m.Port, m.Path = int(number), "/"+path
	return nil
}

// Limits are what the machine allows the process.
type Limits struct {
	CPUShare  float64 `toml:"cpu_share"`
	Cores     float64 `toml:"cores"`
	MemoryMB  int64   `toml:"memory_mb"`
	OpenFiles int     `toml:"open_files"`
	LinkMbps  float64 `toml:"link_mbps"`
	DiskMB    int64   `toml:"disk_mb"`
}

// Tolerance is how much may be lost at one time.
type Tolerance struct {
	Machines int `toml:"machines"`
	Zones    int `toml:"zones"`
	Regions  int `toml:"regions"`
}

// Bounds are the figures of the rules in force.
type Bounds struct {
	SeedLagS      float64 `toml:"seed_lag_s"`
	ReuseAfterS   float64 `toml:"reuse_after_s"`
	InTouchMS     float64 `toml:"in_touch_ms"`
	AckWithinMS   float64 `toml:"ack_within_ms"`
	CatchUpS      float64 `toml:"catch_up_s"`
	DrainMS       float64 `toml:"drain_ms"`
	GraceS        float64 `toml:"grace_s"`
	LostSlackMS   float64 `toml:"lost_slack_ms"`
	ApplyWithinMS float64 `toml:"apply_within_ms"`
	DowngradeMS   float64 `toml:"downgrade_ms"`
	StretchMS     float64 `toml:"stretch_ms"`
	RetryRatio    float64 `toml:"retry_ratio"`
	RetryWindowS  float64 `toml:"retry_window_s"`
	RetryExtra    float64 `toml:"retry_extra"`
	ColdExcess    float64 `toml:"cold_excess"`
	ColdSlack     float64 `toml:"cold_slack"`
	EvacuateMS    float64 `toml:"evacuate_ms"`
	RecoveryS     float64 `toml:"recovery_s"`
	StepMS        float64 `toml:"step_ms"`
	TTLMaxS       float64 `toml:"ttl_max_s"`
}

// Platform is where the list of runners is kept.
type Platform struct {
	Address  ids.Address `toml:"address"`
	RatePerS float64     `toml:"rate_per_s"`
	MaxLagMS float64     `toml:"max_lag_ms"`
}

// Path tells where the boot file is.
func Path() string {
	if path := os.Getenv(PathVariable); path != "" {
		return path
	}
	return DefaultPath
}

// Read reads and checks a boot file.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("boot file: %w", err)
	}
	return Parse(string(text))
}

// Parse checks the text of a boot file.
func Parse(text string) (*Settings, error) {
	settings := &Settings{}
	if _, err := toml.Decode(text, settings); err != nil {
		return nil, fmt.Errorf("boot file: %w", err)
	}
	if err := errors.Join(settings.validate()...); err != nil {
		return nil, fmt.Errorf("boot file: %w", err)
	}
	return settings, nil
}

// Milliseconds turns a figure of the boot file into a span.
func Milliseconds(figure float64) time.Duration {
	return time.Duration(figure * float64(time.Millisecond))
}

// Seconds turns a figure of the boot file into a span.
func Seconds(figure float64) time.Duration { return time.Duration(figure * float64(time.Second)) }

func validAddress(address ids.Address) bool {
	_, err := netip.ParseAddrPort(string(address))
	return err == nil
}
