package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/emulator/links"
	"onyxwell/soak/localcluster"
)

// machine is one machine of the soak, on which a platform keeps a daemon running.
type machine struct {
	localcluster.Machine
	cluster *cluster
	dir     string
	log     *os.File

	mu      sync.Mutex
	process *localcluster.Process
	// starts counts processes; asked says that the present one was asked to end,
	// wipe that the disk is lost before the next start.
	starts        int
	stopRequested bool
	diskLost      bool
	downtime      clock.Span
	linkFaults    links.Faults
	// peakMemoryMB is the most resident memory that was seen.
	peakMemoryMB float64
}

const (
	// restartDelay is after what time the platform starts a daemon again.
	restartDelay = 100 * clock.Millisecond
	// metricsPort is where each daemon tells its figures.
	metricsPort = 18170
)

func newMachine(estate *cluster, layout localcluster.Machine) (*machine, error) {
	made := &machine{Machine: layout, cluster: estate, dir: filepath.Join(estate.options.Dir, layout.Name())}
	if _, err := estate.layout.WriteSettings(estate.options.Dir, layout); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(estate.options.Dir, layout.Name()+".log"))
	made.log = log
	return made, err
}

// dataDir is the folder that stands for the machine's disk.
func (m *machine) dataDir() string { return filepath.Join(m.dir, "data") }

func (m *machine) settingsFile() string { return filepath.Join(m.dir, "boot.toml") }

// writeSettings writes the settings file anew; seeds are turned, so that it changes.
func (m *machine) writeSettings(first bool, turn int) error {
	seeds := m.cluster.layout.Seeds()
	turn %= len(seeds)
	seeds = append(append([]string{}, seeds[turn:]...), seeds[:turn]...)
	next := m.settingsFile() + ".next"
	if err := os.WriteFile(next, []byte(m.cluster.layout.Settings(m.Machine, m.dataDir(), first, seeds)), 0o644); err != nil {
		return err
	}
	return os.Rename(next, m.settingsFile())
}

// start starts the daemon.
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
	arguments := append(append([]string{}, m.cluster.options.DaemonCommand[1:]...), m.Role(), "--boot", m.settingsFile(),
		"--log-level", "info", "--metrics", fmt.Sprintf("%d/metrics", metricsPort))
	process, err := localcluster.Start(m.Machine, m.log, m.cluster.options.DaemonCommand[0], arguments...)
	if err != nil {
		return err
	}
	m.process, m.stopRequested, m.downtime = process, false, restartDelay
	m.starts++
	return json.NewEncoder(process.Stdin()).Encode(m.linkFaults)
}

// supervise has the daemon started again whenever it ends, as the platform does.
func (m *machine) supervise(ctx scope.Scope) {
	for ctx.Err() == nil {
		process := m.currentProcess()
		select {
		case <-process.Done():
		case <-ctx.Done():
			return
		}
		m.mu.Lock()
		asked, down := m.stopRequested, m.downtime
		m.mu.Unlock()
		if !asked {
			m.cluster.addFinding("EXIT", "%s of %s ended by itself: %v", m.Role(), m.Name(), process.Err())
		}
		if !ctx.Wait(down) {
			return
		}
		starts, _ := m.stats()
		err := m.writeSettings(false, starts)
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

// kill ends the daemon without asking; it stays down for the span.
func (m *machine) kill(down clock.Span, wipe bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopRequested, m.downtime, m.diskLost = true, down, m.diskLost || wipe
	m.process.Signal(syscall.SIGKILL)
}

// terminate asks the daemon to leave; one that has not ended in its time is killed.
func (m *machine) terminate(ctx scope.Scope) {
	m.mu.Lock()
	process := m.process
	m.stopRequested = true
	process.Signal(syscall.SIGTERM)
	m.mu.Unlock()
	select {
	case <-process.Done():
		if err := process.Err(); err != nil && m.cluster.options.plannedOnly() {
			m.cluster.addFinding("LEAVE", "%s left with %v", m.Name(), err)
		}
	case <-ctx.Clock.After(gracePeriod):
		if m.cluster.options.plannedOnly() {
			m.cluster.addFinding("LEAVE", "%s is still there %v after SIGTERM", m.Name(), gracePeriod)
		}
		process.Signal(syscall.SIGKILL)
	case <-ctx.Done():
	}
}

// signal sends the daemon a signal.
func (m *machine) signal(signal syscall.Signal) { m.currentProcess().Signal(signal) }

// setLinkFaults replaces what is broken of the machine's links.
func (m *machine) setLinkFaults(order links.Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.linkFaults = order
	_ = json.NewEncoder(m.process.Stdin()).Encode(order)
}

// stats gives how often the daemon was started and the most memory that it had.
func (m *machine) stats() (starts int, peakMB float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.starts, m.peakMemoryMB
}

// sampleMemory notes how much memory the daemon has.
func (m *machine) sampleMemory() {
	residentMB, err := m.currentProcess().ResidentMB()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.peakMemoryMB = max(m.peakMemoryMB, residentMB)
	}
}
