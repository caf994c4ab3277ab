package scale

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"onyxwell/base/clock"
)

// process is one real daemon that this run started.
type process struct {
	name    string
	role    string
	command *exec.Cmd
	errors  bytes.Buffer
	ended   chan struct{}
	fault   error
}

// processes are all of them; they are ended by their handles only.
type processes struct {
	lock sync.Mutex
	all  []*process
}

// grace is how long a process may take to end in order.
const grace = 5 * clock.Second

func (processes *processes) start(programs string, folder string, places places) error {
	for _, zone := range places.zones {
		for number := range 1 + places.size.Routers {
			role := "router"
			if number == 0 {
				role = "fleet-controller"
			}
			path, fault := places.write(folder, zone, number)
			if fault != nil {
				return fault
			}
			made := &process{name: fmt.Sprintf("%s-%d", zone.name, number), role: role, ended: make(chan struct{})}
			made.command = exec.Command(filepath.Join(programs, role), "--boot", path)
			made.command.Stderr = &made.errors
			// They end with this process, also when it is killed.
			made.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			if fault := made.command.Start(); fault != nil {
				return fmt.Errorf("%s of %s: %w", role, made.name, fault)
			}
			processes.lock.Lock()
			processes.all = append(processes.all, made)
			processes.lock.Unlock()
			go func() {
				made.fault = made.command.Wait()
				close(made.ended)
			}()
		}
	}
	return nil
}

// died names the processes that ended though nobody asked them to.
func (processes *processes) died() error {
	var found []error
	for _, one := range processes.all {
		select {
		case <-one.ended:
			found = append(found, fmt.Errorf("%s of %s ended during the run: %v %s", one.role, one.name, one.fault, one.errors.String()))
		default:
		}
	}
	return errors.Join(found...)
}

// stop ends all of them: in order first, then without asking.
func (processes *processes) stop() {
	processes.lock.Lock()
	defer processes.lock.Unlock()
	for _, one := range processes.all {
		_ = one.command.Process.Signal(syscall.SIGTERM)
	}
	over := clock.Steady().After(grace)
	for _, one := range processes.all {
		select {
		case <-one.ended:
		case <-over:
			_ = one.command.Process.Kill()
			<-one.ended
		}
	}
	processes.all = nil
}

// use is what the processes of a role have taken so far.
type use struct {
	ProcessorMS float64
	MemoryMB    float64
	Count       int
}

// used reads what the processes of a role took, by what the system tells of
// these very processes.
func (processes *processes) used(role string) use {
	sum := use{}
	for _, one := range processes.all {
		if one.role != role {
			continue
		}
		stat, fault := os.ReadFile(fmt.Sprintf("/proc/%d/stat", one.command.Process.Pid))
		if fault != nil {
			continue
		}
		fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
		if len(fields) < 22 {
			continue
		}
		user, _ := strconv.ParseFloat(fields[11], 64)
		system, _ := strconv.ParseFloat(fields[12], 64)
		pages, _ := strconv.ParseFloat(fields[21], 64)
		sum.ProcessorMS += (user + system) * 10
		sum.MemoryMB += pages * float64(os.Getpagesize()) / (1 << 20)
		sum.Count++
	}
	return sum
}
