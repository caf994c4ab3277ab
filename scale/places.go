package scale

import (
	"fmt"
	"net"
	"os"
	"path/filepath"

	"onyxwell/base/boot"
	"onyxwell/base/ids"
)

// Ports of the estate; each daemon has a loopback address of its own, so they
// are the same everywhere.
const (
	firstPort    = 17720
	lastPort     = 17735
	frontPort    = 18161
	readyPort    = 18162
	controlPort  = 18163
	lookupPort   = 18164
	platformPort = 18165
	runnerPort   = 18166
)

// places says where everything of an estate stands.
type places struct {
	size  Size
	zones []zone
}

type zone struct {
	name   ids.Zone
	region ids.Region
	number int
}

func placesOf(size Size) places {
	made := places{size: size}
	for region := range size.Regions {
		for index := range size.Zones {
			made.zones = append(made.zones, zone{
				name: ids.Zone(fmt.Sprintf("r%d-z%d", region, index)), region: ids.Region(fmt.Sprintf("r%d", region)),
				number: region*size.Zones + index,
			})
		}
	}
	return made
}

// ip is the address of a machine: 127.(zone).0.(number), the first of a zone with a
// controller.
func ip(zone zone, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+zone.number, number/250, 1+number%250)
}

func platformAddress() ids.Address { return ids.Address(fmt.Sprintf("127.19.0.1:%d", platformPort)) }

func runnerIP(index int) string { return fmt.Sprintf("127.18.%d.%d", index/250, 1+index%250) }

// seeds are the control addresses of the first zones' controllers.
func (places places) seeds() []string {
	var found []string
	for _, zone := range places.zones[:min(3, len(places.zones))] {
		found = append(found, fmt.Sprintf("%s:%d", ip(zone, 0), controlPort))
	}
	return found
}

// settings is the text of a daemon's boot file.
func (places places) settings(zone zone, number int, folder string) string {
	text := fmt.Sprintf(`node_name = "%s-%d"
zone = "%s"
region = "%s"
ip = "%s"
port_range = [%d, %d]
first_start = true
data_dir = "%s"
rules_in_force = ["base"]
seed_nodes = [`, zone.name, number, zone.name, zone.region, ip(zone, number), firstPort, lastPort, folder)
	for index, seed := range places.seeds() {
		if index > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%q", seed)
	}
	text += "]\n[zones]\n"
	for _, other := range places.zones {
		text += fmt.Sprintf("%s = %q\n", other.name, other.region)
	}
	link := 10
	text += "[listen]\n"
	if number == 0 {
		link = 100
		text += fmt.Sprintf("control = \"%s:%d\"\ndirectory = \"%s:%d\"\n", ip(zone, number), controlPort, ip(zone, number), lookupPort)
	} else {
		text += fmt.Sprintf("front = \"%s:%d\"\nreadiness = \"%s:%d\"\n", ip(zone, number), frontPort, ip(zone, number), readyPort)
	}
	return text + fmt.Sprintf(`[limits]
memory_mb = 184
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
drain_ms = 4000
grace_s = 3
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 60
ttl_max_s = 5
recovery_s = 12
[cloud_api]
address = "%s"
rate_per_s = 1000
max_lag_ms = 200
`, link, min(2, (len(places.zones)-1)/2), platformAddress())
}

// write puts a daemon's boot file into a folder and gives its path.
func (places places) write(folder string, zone zone, number int) (string, error) {
	own := filepath.Join(folder, fmt.Sprintf("%s-%d", zone.name, number))
	if fault := os.MkdirAll(filepath.Join(own, "data"), 0o755); fault != nil {
		return "", fault
	}
	path := filepath.Join(own, "boot.toml")
	return path, os.WriteFile(path, []byte(places.settings(zone, number, filepath.Join(own, "data"))), 0o644)
}

// free names a port that is in use already, before anything starts.
func (places places) free() error {
	var wanted []string
	for _, zone := range places.zones {
		wanted = append(wanted, fmt.Sprintf("%s:%d", ip(zone, 0), controlPort), fmt.Sprintf("%s:%d", ip(zone, 1), firstPort))
	}
	wanted = append(wanted, string(platformAddress()), fmt.Sprintf("%s:%d", runnerIP(0), runnerPort))
	for _, address := range wanted {
		listener, fault := net.Listen("tcp", address)
		if fault != nil {
			return fmt.Errorf("%s is not free: %w", address, fault)
		}
		_ = listener.Close()
	}
	return nil
}

func parsed(text string) (*boot.Boot, error) { return boot.Parse(text) }
