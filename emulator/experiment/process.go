package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/program"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
)

// processShutdownTimeout bounds the graceful shutdown of a router process.
const processShutdownTimeout = 4 * time.Second

// routerOrder is the first line that a router process reads; the further lines are
// lists of endpoints.
type routerOrder struct {
	Address string
	// Boot is the path of the node settings.
	Boot string
	// Document is the configuration.
	Document []byte
	// Forgive is Options.ClearSuspicionInterval.
	Forgive time.Duration
	List    discovery.List
}

// Serve runs a router in a process of its own. It reads a routerOrder and lists of
// endpoints from in, and writes its address to out. On a SIGHUP it reads its node
// settings again, like the router program, reloads its configuration, and writes a
// line. It returns once the context has ended and the router is drained, or at once
// when in ends.
func Serve(ctx context.Context, in io.Reader, out io.Writer) error {
	orders := json.NewDecoder(in)
	var order routerOrder
	if err := orders.Decode(&order); err != nil {
		return fmt.Errorf("router: the first order: %w", err)
	}
	listener, err := net.Listen("tcp", order.Address)
	if err != nil {
		return err
	}
	hangups := program.NotifyHangup()
	file, settings, err := program.OpenSettings(order.Boot)
	if err != nil {
		return err
	}
	machineClock := clock.NewMonotonic()
	reread := file.Watch(scope.New(scope.Options{Clock: machineClock, Settings: settings}).WithContext(ctx), hangups)
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	router := NewDataPlane(running, order.Document, Options{Clock: machineClock, ClearSuspicionInterval: order.Forgive})
	router.SetEndpoints(order.List)
	server := router.serve(listener, func(handler http.Handler) http.Handler { return handler })
	fmt.Fprintln(out, listener.Addr())
	inputEnded := make(chan struct{})
	go func() {
		defer close(inputEnded)
		for {
			var list discovery.List
			if orders.Decode(&list) != nil {
				return
			}
			router.SetEndpoints(list)
		}
	}()
	for {
		select {
		case settings := <-reread:
			router.Reload()
			fmt.Fprintln(out, "reread", settings.NodeName)
		case <-ctx.Done():
			(&localInstance{router: router, server: server, clock: machineClock, cancel: cancel}).Shutdown(running, true)
			return nil
		case <-inputEnded:
			return nil
		}
	}
}

// processInstance is a router in a process of its own.
type processInstance struct {
	address string
	command *exec.Cmd
	stdin   io.WriteCloser
	clock   clock.Clock
	orders  *json.Encoder // guarded by experiment.mu
	exited  chan struct{}
	dir     string // of the node settings
}

// startProcess starts a router process, and waits until it serves.
func (e *experiment) startProcess(address string, endpoints discovery.List) (instance, error) {
	dir, err := os.MkdirTemp("", "onyxwell-experiment-")
	if err != nil {
		return nil, err
	}
	p := &processInstance{
		command: exec.Command(e.options.RouterProgram[0], e.options.RouterProgram[1:]...), clock: e.clock, exited: make(chan struct{}), dir: dir,
	}
	stdout, err := p.start()
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	err = p.orders.Encode(routerOrder{
		Address: address, Boot: p.settingsPath(), Document: configDocument(), Forgive: e.options.ClearSuspicionInterval, List: endpoints,
	})
	lines := bufio.NewScanner(stdout)
	if lines.Scan() {
		p.address = lines.Text()
	}
	e.processes.Go(func() {
		defer close(p.exited)
		for lines.Scan() {
			e.hangupCount.Add(1)
		}
		_ = p.command.Wait()
		_ = os.RemoveAll(dir)
	})
	if err != nil || p.address == "" {
		p.kill()
		return nil, fmt.Errorf("experiment: the router's process does not serve at %s", address)
	}
	return p, nil
}

// start writes the settings, starts the process and returns its standard output.
func (p *processInstance) start() (io.Reader, error) {
	if err := p.writeSettings(0); err != nil {
		return nil, err
	}
	stdin, err := p.command.StdinPipe()
	if err != nil {
		return nil, err
	}
	p.stdin, p.orders = stdin, json.NewEncoder(stdin)
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	return stdout, p.command.Start()
}

func (p *processInstance) Address() string { return p.address }

func (p *processInstance) SetEndpoints(list discovery.List) { _ = p.orders.Encode(list) }

func (p *processInstance) Shutdown(_ context.Context, graceful bool) {
	if graceful {
		_ = p.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.exited:
		case <-p.clock.After(processShutdownTimeout):
		}
	}
	p.kill()
}

func (p *processInstance) Close() {
	p.kill()
	<-p.exited
}

func (p *processInstance) kill() {
	_ = p.command.Process.Kill()
	_ = p.stdin.Close()
}

func (p *processInstance) signal(signal syscall.Signal) error {
	return p.command.Process.Signal(signal)
}

// settingsTemplate are the node settings. With these bounds a router looks at the
// file so rarely that only a SIGHUP makes it read the file again.
const settingsTemplate = `node_name = "router-%d"
ip = "127.0.0.1"
zone = "zone"
region = "region"
port_range = [7720,7735]
seed_nodes = ["127.0.0.1:7721"]
[limits]
memory_mb = 256
open_files = 4096
[bounds]
retry_window_s = 10
grace_s = 8
apply_within_ms = 1e9
[cloud_api]
address = "127.0.0.1:8169"
rate_per_s = 42.0
`

func (p *processInstance) settingsPath() string { return filepath.Join(p.dir, "boot.toml") }

// writeSettings replaces the node settings atomically.
func (p *processInstance) writeSettings(number int) error {
	temporary := p.settingsPath() + ".new"
	if err := os.WriteFile(temporary, fmt.Appendf(nil, settingsTemplate, number), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, p.settingsPath())
}
