package localcluster

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"

	"onyxwell/base/clock"
)

// Process is a daemon that this program started. It ends with this program,
// also when that is killed.
type Process struct {
	Machine Machine
	command *exec.Cmd
	stdin   io.WriteCloser
	done    chan struct{}
	err     error
}

// Start starts a command for a machine; what it writes goes to the log. Its
// standard input is a pipe, whose end tells it that this program is gone.
func Start(machine Machine, log io.Writer, name string, arguments ...string) (*Process, error) {
	process := &Process{Machine: machine, command: exec.Command(name, arguments...), done: make(chan struct{})}
	process.command.Stdout, process.command.Stderr = log, log
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	input, err := process.command.StdinPipe()
	if err != nil {
		return nil, err
	}
	process.stdin = input
	if err := process.command.Start(); err != nil {
		return nil, fmt.Errorf("%s of %s: %w", machine.Role(), machine.Name(), err)
	}
	go func() {
		process.err = process.command.Wait()
		close(process.done)
	}()
	return process, nil
}

// Stdin is the process's standard input.
func (p *Process) Stdin() io.Writer { return p.stdin }

// Done is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err says how an ended process ended; nil is status 0.
func (p *Process) Err() error {
	<-p.done
	return p.err
}

// Exited tells whether the process has ended.
func (p *Process) Exited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Signal sends the process a signal.
func (p *Process) Signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// Kill ends the process without asking and waits until it is gone.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// StopAll ends processes: in order first, then, after the span, without asking.
func StopAll(all []*Process, span clock.Span) {
	for _, process := range all {
		process.Signal(syscall.SIGTERM)
	}
	over := clock.NewMonotonic().After(span)
	for _, process := range all {
		select {
		case <-process.done:
		case <-over:
			process.Kill()
		}
	}
}

// Usage is what a process has taken so far.
type Usage struct {
	// CPUMS is processor time in milliseconds, MemoryMB resident memory now.
	CPUMS    float64
	MemoryMB float64
}

// Places of the fields of /proc/PID/stat behind the name of the command.
const (
	userTicksField, systemTicksField, residentPagesField = 11, 12, 21
	// tickMS is the length of a tick of the kernel's accounts.
	tickMS = 10
)

// Usage reads what the system tells of the process.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return Usage{}, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= residentPagesField {
		return Usage{}, fmt.Errorf("/proc: %d fields of %s", len(fields), p.Machine.Name())
	}
	user, _ := strconv.ParseFloat(fields[userTicksField], 64)
	system, _ := strconv.ParseFloat(fields[systemTicksField], 64)
	pages, _ := strconv.ParseFloat(fields[residentPagesField], 64)
	return Usage{CPUMS: (user + system) * tickMS, MemoryMB: pages * float64(os.Getpagesize()) / (1 << 20)}, nil
}
