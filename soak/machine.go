package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"onyxwell/emulator/links"
	"onyxwell/soak/localcluster"
)

const (
	// restartDelay is how long after its end a daemon is started again.
	restartDelay = 100 * time.Millisecond
	// metricsPort is where each daemon serves its metrics.
	metricsPort = 18170
)

// machine is a machine whose daemon is started again whenever it ends, as the
// platform does.
type machine struct {
	localcluster.Machine
	cluster *cluster
	dir     string
	log     *os.File

	mu      sync.Mutex
	process *localcluster.Process
	// starts counts the processes so far.
	starts int
	// stopRequested says that the current process may end, downtime how long after
	// that the next one starts, and diskLost that it starts with an empty disk.
	stopRequested bool
	downtime      time.Duration
	diskLost      bool
	linkFaults    links.Faults
	// peakMemoryMB is the most resident memory that was sampled.
	peakMemoryMB float64
}

func newMachine(c *cluster, place localcluster.Machine) (*machine, error) {
	dir := c.options.Dir
	if _, err := c.layout.WriteSettings(dir, place); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, place.Name()+".log"))
	if err != nil {
		return nil, err
	}
	return &machine{Machine: place, cluster: c, dir: filepath.Join(dir, place.Name()), log: log}, nil
}

// dataDir is the directory that stands for the machine's disk.
func (m *machine) dataDir() string { return filepath.Join(m.dir, "data") }

func (m *machine) bootFile() string { return filepath.Join(m.dir, "boot.toml") }

// rewriteSettings replaces the boot file by one whose seeds are rotated, so that
// its content changes.
func (m *machine) rewriteSettings(rotation int) error {
	seeds := m.cluster.layout.Seeds()
	rotation %= len(seeds)
	seeds = append(append([]string{}, seeds[rotation:]...), seeds[:rotation]...)
	next := m.bootFile() + ".next"
	if err := os.WriteFile(next, []byte(m.cluster.layout.Settings(m.Machine, m.dataDir(), false, seeds)), 0o644); err != nil {
		return err
	}
	return os.Rename(next, m.bootFile())
}

// start starts the daemon, unless the run is being stopped.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cluster.stopping.Load() {
		return nil
	}
	if m.diskLost {
		m.diskLost = false
		if err := os.RemoveAll(m.dataDir()); err != nil {
			return err
		}
		if err := os.MkdirAll(m.dataDir(), 0o755); err != nil {
			return err
		}
	}
	command := m.cluster.options.DaemonCommand
	arguments := append(append([]string{}, command[1:]...), m.Role(), "--boot", m.bootFile(),
		"--log-level", "debug", "--metrics", fmt.Sprintf("%d/metrics", metricsPort))
	process, err := localcluster.Start(m.Machine, m.log, command[0], arguments...)
	if err != nil {
		return err
	}
	m.process, m.stopRequested, m.downtime = process, false, restartDelay
	m.starts++
	return m.sendLinkFaults()
}

// supervise starts the daemon again whenever it ends, until ctx ends. An end that
// nobody requested is a finding.
func (m *machine) supervise(ctx context.Context) {
	for ctx.Err() == nil {
		process := m.currentProcess()
		select {
		case <-process.Done():
		case <-ctx.Done():
			return
		}
		m.mu.Lock()
		stopRequested, downtime, starts := m.stopRequested, m.downtime, m.starts
		m.mu.Unlock()
		if !stopRequested {
			m.cluster.addFinding("EXIT", "%s of %s ended by itself: %v", m.Role(), m.Name(), process.Err())
		}
		if !m.cluster.wait(ctx, downtime) {
			return
		}
		err := m.rewriteSettings(starts)
		if err == nil {
			err = m.start()
		}
		if err != nil {
			m.cluster.addFinding("SOAK", "%s could not be started again: %v", m.Name(), err)
			return
		}
	}
}

func (m *machine) currentProcess() *localcluster.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// signal sends the daemon a signal.
func (m *machine) signal(signal syscall.Signal) { m.currentProcess().Signal(signal) }

// kill kills the daemon, which is started again after the downtime; with loseDisk
// it then has an empty disk.
func (m *machine) kill(downtime time.Duration, loseDisk bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopRequested, m.downtime, m.diskLost = true, downtime, m.diskLost || loseDisk
	m.process.Signal(syscall.SIGKILL)
}

// terminate has the daemon shut down gracefully, and kills it where it has not
// ended within the grace period.
func (m *machine) terminate(ctx context.Context) {
	m.mu.Lock()
	process := m.process
	m.stopRequested = true
	process.Signal(syscall.SIGTERM)
	m.mu.Unlock()
	plannedOnly := m.cluster.options.plannedOnly()
	select {
	case <-process.Done():
		if err := process.Err(); err != nil && plannedOnly {
			m.cluster.addFinding("LEAVE", "%s shut down with %v", m.Name(), err)
		}
	case <-m.cluster.clock.After(gracePeriod):
		if plannedOnly {
			m.cluster.addFinding("LEAVE", "%s still runs %v after SIGTERM", m.Name(), gracePeriod)
		}
		process.Signal(syscall.SIGKILL)
	case <-ctx.Done():
	}
}

// prepareStop marks the end of the daemon as requested and wakes it where it is
// paused. It returns the process, or nil where none was started.
func (m *machine) prepareStop() *localcluster.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopRequested = true
	if m.process != nil {
		m.process.Signal(syscall.SIGCONT)
	}
	return m.process
}

// setLinkFaults replaces the faults of the machine's links, also for the
// processes that follow.
func (m *machine) setLinkFaults(faults links.Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.linkFaults = faults
	// A process that has ended gets them when it is started again.
	_ = m.sendLinkFaults()
}

// sendLinkFaults sends the faults to the current process. The caller holds m.mu.
func (m *machine) sendLinkFaults() error {
	return json.NewEncoder(m.process.Stdin()).Encode(m.linkFaults)
}

// stats returns how often the daemon was started and the most memory it had.
func (m *machine) stats() (starts int, peakMemoryMB float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.starts, m.peakMemoryMB
}

// sampleMemory samples the memory of the daemon; one that has ended has none.
func (m *machine) sampleMemory() {
	residentMB, err := m.currentProcess().ResidentMB()
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peakMemoryMB = max(m.peakMemoryMB, residentMB)
}
