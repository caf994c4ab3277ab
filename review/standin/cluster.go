package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on every machine.
const (
	firstPort     = 17720
	lastPort      = 17735
	frontPort     = 18161
	readyPort     = 18162
	controlPort   = 18163
	directoryPort = 18164
	platformPort  = 18165
)

// Figures of the boot files, as in lvsl-onyx.
const (
	graceTime     = 8 * time.Second
	lostSlackTime = 200 * time.Millisecond
)

// zones are the zones and their regions.
var zones = []struct{ name, region string }{
	{"kgn-hall-a", "kingston"}, {"mbj-hall-b", "montego"}, {"mdv-hall-c", "mandeville"},
}

// cluster is a small deployment: in each zone a machine with a controller and a router and
// one with a router alone, and runners. The platform lists the runners.
type cluster struct {
	*record
	trouble bool
	// rollouts says that the settings have rollouts in force.
	rollouts bool
	dir      string
	subnet   int
	platform *http.Server
	// mu guards the fields below: the daemons and the runners that were started, and the
	// clients' requests by the status of the answer, 0 for none.
	mu      sync.Mutex
	daemons []*daemon
	runners []*runner
	answers map[int]int
}

// daemon is a process of a machine.
type daemon struct {
	role, zone, ip string
	command        *exec.Cmd
	done           chan struct{}
}

// signal sends a signal to the process.
func (d *daemon) signal(sig syscall.Signal) { _ = d.command.Process.Signal(sig) }

// ip returns the address of a machine: zones count from 1, machines from 1.
func (c *cluster) ip(zone, machine int) string {
	return fmt.Sprintf("127.%d.%d.%d", c.subnet, zone+1, machine)
}

// control returns the control address of a zone's controller.
func (c *cluster) control(zone int) string { return fmt.Sprintf("%s:%d", c.ip(zone, 1), controlPort) }

// newCluster starts the platform, two runners in each zone and all daemons.
func newCluster(rec *record, trouble, rollouts bool) (*cluster, error) {
	c := &cluster{record: rec, trouble: trouble, rollouts: rollouts, answers: map[int]int{}}
	if !c.findSubnet() {
		return nil, fmt.Errorf("no free loopback addresses")
	}
	var err error
	if c.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	for zone := range zones {
		for number := range 2 {
			if err := c.startRunner(zone, fmt.Sprintf("i-%d-%d", zone, number), "v1"); err != nil {
				c.stop()
				return nil, err
			}
		}
	}
	if err := c.startPlatform(); err != nil {
		c.stop()
		return nil, err
	}
	for zone := range zones {
		for _, role := range []struct {
			name    string
			machine int
		}{{"fleet-controller", 1}, {"router", 1}, {"router", 2}} {
			if err := c.startDaemon(role.name, zone, role.machine, true); err != nil {
				c.stop()
				return nil, err
			}
		}
	}
	return c, nil
}

// findSubnet chooses the second byte of the loopback addresses.
func (c *cluster) findSubnet() bool {
	for range 50 {
		c.subnet = 20 + rand.IntN(200)
		listener, err := net.Listen("tcp", c.control(0))
		if err == nil {
			_ = listener.Close()
			return true
		}
	}
	return false
}

// commandOf returns the command of a role in the deploy file.
func commandOf(role string) ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?s)\[roles\.` + role + `\]\s*run = "([^"]+)"`).FindSubmatch(text)
	if found == nil {
		return nil, fmt.Errorf("the deploy file has no role %s", role)
	}
	return strings.Fields(string(found[1])), nil
}

// startDaemon writes a boot file and starts a role's process with it.
func (c *cluster) startDaemon(role string, zone, machine int, firstStart bool) error {
	arguments, err := commandOf(role)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%s-%d", role, zones[zone].name, machine)
	data := filepath.Join(c.dir, name)
	if err := os.MkdirAll(data, 0o755); err != nil {
		return err
	}
	boot := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(boot, []byte(c.bootFile(role, zone, machine, data, firstStart)), 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(c.dir, name+".log"))
	if err != nil {
		return err
	}
	d := &daemon{role: role, zone: zones[zone].name, ip: c.ip(zone, machine), done: make(chan struct{})}
	d.command = exec.Command(arguments[0], arguments[1:]...)
	d.command.Env = append(os.Environ(), "ONYXWELL_NODE_FILE="+boot)
	d.command.Stdout, d.command.Stderr = log, log
	d.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.command.Start(); err != nil {
		return err
	}
	go func() {
		_ = d.command.Wait()
		_ = log.Close()
		close(d.done)
	}()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons = append(c.daemons, d)
	return nil
}

// allDaemons returns all processes that were started.
func (c *cluster) allDaemons() []*daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*daemon(nil), c.daemons...)
}

// routers returns the processes of the routers.
func (c *cluster) routers() []*daemon {
	var routers []*daemon
	for _, d := range c.allDaemons() {
		if d.role == "router" {
			routers = append(routers, d)
		}
	}
	return routers
}

// stop ends all processes and servers and removes the files.
func (c *cluster) stop() {
	for _, d := range c.allDaemons() {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range c.allDaemons() {
		<-d.done
	}
	if c.platform != nil {
		_ = c.platform.Close()
	}
	for _, r := range c.allRunners() {
		_ = r.server.Close()
	}
	_ = os.RemoveAll(c.dir)
}

// awaitReady waits until all routers call themselves ready.
func (c *cluster) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range c.routers() {
			resp, err := client.Get(fmt.Sprintf("http://%s:%d/ready", d.ip, readyPort))
			if err != nil {
				continue
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.routers()) {
			c.printf("all %d routers are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("the routers did not become ready")
}
