// Package localcluster lays out a small cluster on loopback addresses and runs
// its daemons as real processes: machines in zones and regions, their boot files,
// and the platform's API that lists the runners.
//
// Each machine has a loopback address of its own. All daemons end with the
// process that started them, however that ends.
package localcluster

import (
	"fmt"
	"net"

	"onyxwell/base/ids"
)

// Ports of the cluster, the same on every machine.
const (
	FirstPort     = 17720
	LastPort      = 17735
	FrontPort     = 18161
	ReadyPort     = 18162
	ControlPort   = 18163
	DirectoryPort = 18164
	PlatformPort  = 18165
)

// maxSeeds is how many controllers a boot file names as seeds at the most.
const maxSeeds = 3

// Layout is the size of a cluster and what its boot files have in common.
type Layout struct {
	Regions        int
	ZonesPerRegion int
	// RoutersPerZone counts the machines with a router; every zone has one with a
	// controller beside them.
	RoutersPerZone int
	// Subnet is the second byte of the addresses of the first zone. The following
	// zones have the next ones, the platform the one before.
	Subnet int
	// GraceS is the time in seconds that a daemon has to shut down.
	GraceS float64
	// MemoryMB is the memory limit of each daemon.
	MemoryMB int
}

// Zone is a zone of a layout.
type Zone struct {
	Name   ids.Zone
	Region ids.Region
	index  int
}

// Machine is a machine with one daemon: number 0 of a zone has its controller,
// the others have routers.
type Machine struct {
	Zone   Zone
	Number int
	IP     string
}

// Name returns the machine's name, as in r0-z1-2.
func (m Machine) Name() string { return fmt.Sprintf("%s-%d", m.Zone.Name, m.Number) }

// Role returns the name of the daemon that the machine runs.
func (m Machine) Role() string {
	if m.Number == 0 {
		return "fleet-controller"
	}
	return "router"
}

// Address returns the machine's IP:PORT.
func (m Machine) Address(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// AllZones returns the zones of all regions.
func (l Layout) AllZones() []Zone {
	var zones []Zone
	for region := range l.Regions {
		for zone := range l.ZonesPerRegion {
			zones = append(zones, Zone{
				Name:   ids.Zone(fmt.Sprintf("r%d-z%d", region, zone)),
				Region: ids.Region(fmt.Sprintf("r%d", region)),
				index:  region*l.ZonesPerRegion + zone,
			})
		}
	}
	return zones
}

// Machine returns a machine of a zone; its number may be beyond the layout's own.
func (l Layout) Machine(zone Zone, number int) Machine {
	return Machine{Zone: zone, Number: number, IP: fmt.Sprintf("127.%d.%d.%d", l.Subnet+zone.index, number/250, 1+number%250)}
}

// Machines returns all machines, zone by zone, the controller's first.
func (l Layout) Machines() []Machine {
	var machines []Machine
	for _, zone := range l.AllZones() {
		for number := range 1 + l.RoutersPerZone {
			machines = append(machines, l.Machine(zone, number))
		}
	}
	return machines
}

// PlatformAddress returns the address of the platform's API.
func (l Layout) PlatformAddress() string {
	return fmt.Sprintf("127.%d.0.1:%d", l.Subnet-1, PlatformPort)
}

// Seeds returns the control addresses of the controllers of the first zones.
func (l Layout) Seeds() []string {
	var addresses []string
	zones := l.AllZones()
	for _, zone := range zones[:min(maxSeeds, len(zones))] {
		addresses = append(addresses, l.Machine(zone, 0).Address(ControlPort))
	}
	return addresses
}

// CheckAddressesFree returns an error that names an address in use. It tries one
// port of the platform and of the first two machines of each zone.
func (l Layout) CheckAddressesFree() error {
	addresses := []string{l.PlatformAddress()}
	for _, zone := range l.AllZones() {
		addresses = append(addresses, l.Machine(zone, 0).Address(ControlPort), l.Machine(zone, 1).Address(FirstPort))
	}
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("%s is not free: %w", address, err)
		}
		_ = listener.Close()
	}
	return nil
}
