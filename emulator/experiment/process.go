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
	"syscall"

	"onyxwell/base/clock"
	"onyxwell/base/program"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
)

// routerOrder is the first line that a router of its own process reads; further lines
// are lists. Boot is where its boot file is.
type routerOrder struct {
	Address  string
	Boot     string
	Document []byte
	Forgive  clock.Span
	List     discovery.List
}

// Serve is a router in a process of its own: it reads its orders from a pipe,
// tells its address, and leaves in order when the scope ends. It ends at once
// when the pipe does. On a SIGHUP it reads its boot file again, as the router's
// program does, takes its configuration anew, and tells so in a line.
func Serve(top scope.Scope, in io.Reader, out io.Writer) error {
	lines := json.NewDecoder(in)
	var first routerOrder
	if err := lines.Decode(&first); err != nil {
		return fmt.Errorf("router: the first order: %w", err)
	}
	listener, err := net.Listen("tcp", first.Address)
	if err != nil {
		return err
	}
	hangups := program.NotifyHangup()
	file, settings, err := program.OpenSettings(first.Boot)
	if err != nil {
		return err
	}
	reread := file.Watch(scope.New(scope.Options{Clock: top.Clock, Settings: settings}).WithContext(top), hangups)
	ctx, end := top.WithoutCancel().WithCancel()
	defer end()
	router := NewDataPlane(ctx, first.Document, Options{ClearSuspicionInterval: first.Forgive})
	router.SetEndpoints(first.List)
	server := router.serve(listener, func(handler http.Handler) http.Handler { return handler })
	fmt.Fprintln(out, listener.Addr())
	orphaned, orphan := context.WithCancel(context.Background())
	go func() {
		defer orphan()
		for {
			var list discovery.List
			if lines.Decode(&list) != nil {
				return
			}
			router.SetEndpoints(list)
		}
	}()
	for {
		select {
		case fresh := <-reread:
			router.Reload()
			fmt.Fprintln(out, "reread", fresh.NodeName)
		case <-top.Done():
			(&instance{router: router, server: server, cancel: end}).shutdown(ctx, true)
			return nil
		case <-orphaned.Done():
			return nil
		}
	}
}

// process is a router that runs beside this program.
type process struct {
	command *exec.Cmd
	stdin   io.WriteCloser
	orders  *json.Encoder
	exited  chan struct{}
	// dir holds its boot file.
	dir string
}

// startProcess starts a router as a process.
func (e *experiment) startProcess(address string, list discovery.List) (*instance, error) {
	folder, err := os.MkdirTemp("", "onyxwell-experiment-")
	if err != nil {
		return nil, err
	}
	begun := &process{command: exec.Command(e.options.RouterProgram[0], e.options.RouterProgram[1:]...), exited: make(chan struct{}), dir: folder}
	err = begun.writeSettings(0)
	var told io.Reader
	if err == nil {
		told, err = begun.start()
	}
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, err
	}
	first := routerOrder{Address: address, Boot: begun.settingsPath(), Document: configDocument(), Forgive: e.options.ClearSuspicionInterval, List: list}
	err = begun.orders.Encode(first)
	lines := bufio.NewScanner(told)
	line := ""
	if lines.Scan() {
		line = lines.Text()
	}
	e.processes.Add(1)
	go func() {
		defer e.processes.Done()
		for lines.Scan() {
			e.hangupCount.Add(1)
		}
		_ = begun.command.Wait()
		_ = os.RemoveAll(folder)
		close(begun.exited)
	}()
	if err != nil || line == "" {
		begun.kill()
		return nil, fmt.Errorf("experiment: the router's process does not serve at %s", address)
	}
	router := Router{SetEndpoints: func(list discovery.List) { _ = begun.orders.Encode(list) }}
	return &instance{address: line, router: router, process: begun, cancel: func() {}}, nil
}

// start starts the process and gives what it tells.
func (p *process) start() (io.Reader, error) {
	pipe, err := p.command.StdinPipe()
	if err != nil {
		return nil, err
	}
	p.stdin, p.orders = pipe, json.NewEncoder(pipe)
	told, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	return told, p.command.Start()
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.stdin.Close()
}

// shutdown asks a process to end, or ends it.
func (p *process) shutdown(ctx scope.Scope, orderly bool) {
	if orderly {
		_ = p.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.exited:
		case <-ctx.Clock.After(4 * clock.Second):
		}
	}
	p.kill()
}
