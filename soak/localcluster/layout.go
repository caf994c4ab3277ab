// Package localcluster lays out a small deployment on loopback addresses and runs
// its daemons as real processes: machines in zones and regions, their settings
// files, the platform's list of runners.
package localcluster

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"onyxwell/base/ids"
)

// Ports of the deployment; each machine has a loopback address of its own, so
// they are the same everywhere.
const (
	FirstPort     = 17720
	LastPort      = 17735
	FrontPort     = 18161
	ReadyPort     = 18162
	ControlPort   = 18163
	DirectoryPort = 18164
	PlatformPort  = 18165
	RunnerPort    = 18166
)

// Layout says how many machines there are and where.
type Layout struct {
	Regions int
	// ZonesPerRegion is how many zones each region has, Routers how many machines with a
	// router each zone has beside the one with its controller.
	ZonesPerRegion int
	RoutersPerZone int
	// Subnet is the second byte of the first zone's addresses; the zones after it
	// have the next ones, the platform and the runners those before.
	Subnet int
	// GraceS is the time in seconds that a process has to leave.
	GraceS float64
	// MemoryMB is the memory that each process may take.
	MemoryMB int
}

// Zone is one zone of a layout.
type Zone struct {
	Name   ids.Zone
	Region ids.Region
	index  int
}

// Machine is one machine with one daemon: number 0 of a zone has its
// controller, the others have routers.
type Machine struct {
	Zone   Zone
	Number int
	IP     string
}

// Name is the machine's name, as in r0-z1-2.
func (m Machine) Name() string { return fmt.Sprintf("%s-%d", m.Zone.Name, m.Number) }

// Role is the name of the daemon that the machine runs.
func (m Machine) Role() string {
	if m.Number == 0 {
		return "fleet-controller"
	}
	return "router"
}

// Address is where the machine listens at a port.
func (m Machine) Address(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// AllZones gives the zones of all regions.
func (l Layout) AllZones() []Zone {
	var found []Zone
	for region := range l.Regions {
		for index := range l.ZonesPerRegion {
			found = append(found, Zone{
				Name: ids.Zone(fmt.Sprintf("r%d-z%d", region, index)), Region: ids.Region(fmt.Sprintf("r%d", region)),
				index: region*l.ZonesPerRegion + index,
			})
		}
	}
	return found
}

// Machine gives a machine of a zone, also one beyond the layout's own.
func (l Layout) Machine(zone Zone, number int) Machine {
	return Machine{Zone: zone, Number: number, IP: fmt.Sprintf("127.%d.%d.%d", l.Subnet+zone.index, number/250, 1+number%250)}
}

// Machines gives all machines, zone by zone, the controller's first.
func (l Layout) Machines() []Machine {
	var found []Machine
	for _, zone := range l.AllZones() {
		for number := range 1 + l.RoutersPerZone {
			found = append(found, l.Machine(zone, number))
		}
	}
	return found
}

// PlatformAddress is where the platform's list is served.
func (l Layout) PlatformAddress() string {
	return fmt.Sprintf("127.%d.0.1:%d", l.Subnet-1, PlatformPort)
}

// RunnerIP is the address of a runner.
func (l Layout) RunnerIP(index int) string {
	return fmt.Sprintf("127.%d.%d.%d", l.Subnet-2, index/250, 1+index%250)
}

// Seeds are the control addresses of the first zones' controllers, three at most.
func (l Layout) Seeds() []string {
	var found []string
	zones := l.AllZones()
	for _, zone := range zones[:min(3, len(zones))] {
		found = append(found, l.Machine(zone, 0).Address(ControlPort))
	}
	return found
}

// Settings is the text of a machine's settings file. First says that the whole
// deployment starts for the first time.
func (l Layout) Settings(machine Machine, folder string, first bool, seeds []string) string {
	zones := l.AllZones()
	var text strings.Builder
	fmt.Fprintf(&text, "node_name = %q\nzone = %q\nregion = %q\nip = %q\nport_range = [%d, %d]\nfirst_start = %v\ndata_dir = %q\nrules_in_force = [\"base\"]\n",
		machine.Name(), machine.Zone.Name, machine.Zone.Region, machine.IP, FirstPort, LastPort, first, folder)
	fmt.Fprintf(&text, "seed_nodes = [\"%s\"]\n[zones]\n", strings.Join(seeds, `", "`))
	for _, other := range zones {
		fmt.Fprintf(&text, "%s = %q\n", other.Name, other.Region)
	}
	text.WriteString("[listen]\n")
	link := 10
	if machine.Number == 0 {
		link = 100
		fmt.Fprintf(&text, "control = %q\ndirectory = %q\n", machine.Address(ControlPort), machine.Address(DirectoryPort))
	} else {
		fmt.Fprintf(&text, "front = %q\nreadiness = %q\n", machine.Address(FrontPort), machine.Address(ReadyPort))
	}
	fmt.Fprintf(&text, sharedSettings, l.MemoryMB, link, min(2, (len(zones)-1)/2), l.GraceS, l.PlatformAddress())
	return text.String()
}

// sharedSettings are the parts of a settings file that all machines share.
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
apply_within_ms = 3000
ack_within_ms = 5000
catch_up_s = 4
drain_ms = 4000
evacuate_ms = 5000
grace_s = %g
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 60
ttl_max_s = 5
recovery_s = 12
[cloud_api]
address = %q
rate_per_s = 1000
max_lag_ms = 200
`

// WriteSettings puts a machine's settings file and an empty data folder into a folder
// of its own, and gives the file's path.
func (l Layout) WriteSettings(folder string, machine Machine) (string, error) {
	own := filepath.Join(folder, machine.Name())
	data := filepath.Join(own, "data")
	if err := os.MkdirAll(data, 0o755); err != nil {
		return "", err
	}
	path := filepath.Join(own, "boot.toml")
	return path, os.WriteFile(path, []byte(l.Settings(machine, data, true, l.Seeds())), 0o644)
}

// CheckAddressesFree names an address that is in use already, before anything starts.
func (l Layout) CheckAddressesFree() error {
	wanted := []string{l.PlatformAddress()}
	for _, zone := range l.AllZones() {
		wanted = append(wanted, l.Machine(zone, 0).Address(ControlPort), l.Machine(zone, 1).Address(FirstPort))
	}
	for _, address := range wanted {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("%s is not free: %w", address, err)
		}
		_ = listener.Close()
	}
	return nil
}
