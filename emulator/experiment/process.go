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

// order is the first line that a router of its own process reads; further lines
// are lists. Boot is where its boot file is.
type order struct {
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
	var first order
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
	router := Real(ctx, first.Document, Options{Forgive: first.Forgive})
	router.List(first.List)
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
			router.List(list)
		}
	}()
	for {
		select {
		case fresh := <-reread:
			router.Reread()
			fmt.Fprintln(out, "reread", fresh.NodeName)
		case <-top.Done():
			(&door{router: router, server: server, end: end}).leave(ctx, true)
			return nil
		case <-orphaned.Done():
			return nil
		}
	}
}

// process is a router that runs beside this program.
type process struct {
	command *exec.Cmd
	pipe    io.WriteCloser
	lines   *json.Encoder
	gone    chan struct{}
	// folder holds its boot file.
	folder string
}

// spawn starts a router as a process.
func (e *experiment) spawn(address string, list discovery.List) (*door, error) {
	folder, err := os.MkdirTemp("", "onyxwell-experiment-")
	if err != nil {
		return nil, err
	}
	begun := &process{command: exec.Command(e.options.Program[0], e.options.Program[1:]...), gone: make(chan struct{}), folder: folder}
	err = begun.boot(0)
	var told io.Reader
	if err == nil {
		told, err = begun.start()
	}
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, err
	}
	first := order{Address: address, Boot: begun.bootFile(), Document: document(), Forgive: e.options.Forgive, List: list}
	err = begun.lines.Encode(first)
	lines := bufio.NewScanner(told)
	line := ""
	if lines.Scan() {
		line = lines.Text()
	}
	e.processes.Add(1)
	go func() {
		defer e.processes.Done()
		for lines.Scan() {
			e.hungup.Add(1)
		}
		_ = begun.command.Wait()
		_ = os.RemoveAll(folder)
		close(begun.gone)
	}()
	if err != nil || line == "" {
		begun.kill()
		return nil, fmt.Errorf("experiment: the router's process does not serve at %s", address)
	}
	router := Router{List: func(list discovery.List) { _ = begun.lines.Encode(list) }}
	return &door{address: line, router: router, process: begun, end: func() {}}, nil
}

// start starts the process and gives what it tells.
func (p *process) start() (io.Reader, error) {
	pipe, err := p.command.StdinPipe()
	if err != nil {
		return nil, err
	}
	p.pipe, p.lines = pipe, json.NewEncoder(pipe)
	told, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	return told, p.command.Start()
}

func (p *process) kill() {
	_ = p.command.Process.Kill()
	_ = p.pipe.Close()
}

// leave asks a process to end, or ends it.
func (p *process) leave(ctx scope.Scope, orderly bool) {
	if orderly {
		_ = p.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-p.gone:
		case <-ctx.Clock.After(4 * clock.Second):
		}
	}
	p.kill()
}
