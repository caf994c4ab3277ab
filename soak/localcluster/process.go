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
	"time"

	"onyxwell/base/clock"
)

// Process is a running daemon. It is killed when the process that started it
// dies.
type Process struct {
	Machine Machine
	command *exec.Cmd
	stdin   io.WriteCloser
	// done is closed once the process has exited; err is written before that.
	done chan struct{}
	err  error
}

// Start runs a command as a machine's daemon, with its output appended to log.
// Its standard input is a pipe that reaches end of file when this process dies.
func Start(machine Machine, log io.Writer, name string, arguments ...string) (*Process, error) {
	process := &Process{Machine: machine, command: exec.Command(name, arguments...), done: make(chan struct{})}
	process.command.Stdout, process.command.Stderr = log, log
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdin, err := process.command.StdinPipe()
	if err != nil {
		return nil, err
	}
	process.stdin = stdin
	if err := process.command.Start(); err != nil {
		return nil, fmt.Errorf("%s of %s: %w", machine.Role(), machine.Name(), err)
	}
	go func() {
		process.err = process.command.Wait()
		close(process.done)
	}()
	return process, nil
}

// Stdin returns the writing end of the process's standard input.
func (p *Process) Stdin() io.Writer { return p.stdin }

// Done returns a channel that is closed once the process has exited.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err waits until the process has exited and returns how; nil is status 0.
func (p *Process) Err() error {
	<-p.done
	return p.err
}

// Signal sends a signal to the process; one that has exited gets none.
func (p *Process) Signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.done
}

// StopAll sends SIGTERM to all processes, and kills those that have not exited
// after the grace period. It returns once all have exited.
func StopAll(processes []*Process, grace time.Duration) {
	for _, process := range processes {
		process.Signal(syscall.SIGTERM)
	}
	expired := clock.NewMonotonic().After(grace)
	for _, process := range processes {
		select {
		case <-process.done:
		case <-expired:
			process.Kill()
		}
	}
}

// residentPagesField is the index of rss in /proc/PID/stat, counted from the
// field behind the command's name.
const residentPagesField = 21

// ResidentMB returns the resident memory of the process in MiB.
func (p *Process) ResidentMB() (float64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= residentPagesField {
		return 0, fmt.Errorf("/proc: %d fields of %s", len(fields), p.Machine.Name())
	}
	pages, _ := strconv.ParseFloat(fields[residentPagesField], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20), nil
}
