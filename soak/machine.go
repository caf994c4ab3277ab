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
	"onyxwell/deployment"
	"onyxwell/emulator/links"
)

// machine is one machine of the soak, on which a platform keeps a daemon running.
type machine struct {
	deployment.Machine
	estate *estate
	folder string
	log    *os.File

	mu      sync.Mutex
	process *deployment.Process
	// starts counts processes; asked says that the present one was asked to end,
	// wipe that the disk is lost before the next start.
	starts int
	asked  bool
	wipe   bool
	down   clock.Span
	order  links.Faults
	// peakMB is the most resident memory that was seen.
	peakMB float64
}

const (
	// restartPause is after what time the platform starts a daemon again.
	restartPause = 100 * clock.Millisecond
	// metricsPort is where each daemon tells its figures.
	metricsPort = 18170
)

func newMachine(estate *estate, layout deployment.Machine) (*machine, error) {
	made := &machine{Machine: layout, estate: estate, folder: filepath.Join(estate.options.Folder, layout.Name())}
	if _, err := estate.layout.Write(estate.options.Folder, layout); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(estate.options.Folder, layout.Name()+".log"))
	made.log = log
	return made, err
}

// data is the folder that stands for the machine's disk.
func (m *machine) data() string { return filepath.Join(m.folder, "data") }

func (m *machine) settingsFile() string { return filepath.Join(m.folder, "boot.toml") }

// settle writes the settings file anew; seeds are turned, so that it changes.
func (m *machine) settle(first bool, turn int) error {
	seeds := m.estate.layout.Seeds()
	turn %= len(seeds)
	seeds = append(append([]string{}, seeds[turn:]...), seeds[:turn]...)
	next := m.settingsFile() + ".next"
	if err := os.WriteFile(next, []byte(m.estate.layout.Settings(m.Machine, m.data(), first, seeds)), 0o644); err != nil {
		return err
	}
	return os.Rename(next, m.settingsFile())
}

// start starts the daemon.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.estate.ending.Load() {
		return nil
	}
	if m.wipe {
		m.wipe = false
		if err := os.RemoveAll(m.data()); err != nil {
			return err
		}
		if err := os.MkdirAll(m.data(), 0o755); err != nil {
			return err
		}
	}
	arguments := append(append([]string{}, m.estate.options.Program[1:]...), m.Role(), "--boot", m.settingsFile(),
		"--log-level", "info", "--metrics", fmt.Sprintf("%d/metrics", metricsPort))
	process, err := deployment.Start(m.Machine, m.log, m.estate.options.Program[0], arguments...)
	if err != nil {
		return err
	}
	m.process, m.asked, m.down = process, false, restartPause
	m.starts++
	return json.NewEncoder(process.Input()).Encode(m.order)
}

// keep has the daemon started again whenever it ends, as the platform does.
func (m *machine) keep(ctx scope.Scope) {
	for ctx.Err() == nil {
		process := m.running()
		select {
		case <-process.Ended():
		case <-ctx.Done():
			return
		}
		m.mu.Lock()
		asked, down := m.asked, m.down
		m.mu.Unlock()
		if !asked {
			m.estate.find("EXIT", "%s of %s ended by itself: %v", m.Role(), m.Name(), process.Err())
		}
		if !ctx.Wait(down) {
			return
		}
		starts, _ := m.told()
		err := m.settle(false, starts)
		if err == nil {
			err = m.start()
		}
		if err != nil {
			m.estate.find("SOAK", "%s could not be started again: %v", m.Name(), err)
			return
		}
	}
}

func (m *machine) running() *deployment.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// kill ends the daemon without asking; it stays down for the span.
func (m *machine) kill(down clock.Span, wipe bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked, m.down, m.wipe = true, down, m.wipe || wipe
	m.process.Signal(syscall.SIGKILL)
}

// term asks the daemon to leave; one that has not ended in its time is killed.
func (m *machine) term(ctx scope.Scope) {
	m.mu.Lock()
	process := m.process
	m.asked = true
	process.Signal(syscall.SIGTERM)
	m.mu.Unlock()
	select {
	case <-process.Ended():
		if err := process.Err(); err != nil && m.estate.options.planned() {
			m.estate.find("LEAVE", "%s left with %v", m.Name(), err)
		}
	case <-ctx.Clock.After(grace):
		if m.estate.options.planned() {
			m.estate.find("LEAVE", "%s is still there %v after SIGTERM", m.Name(), grace)
		}
		process.Signal(syscall.SIGKILL)
	case <-ctx.Done():
	}
}

// signal sends the daemon a signal.
func (m *machine) signal(signal syscall.Signal) { m.running().Signal(signal) }

// cut replaces what is broken of the machine's links.
func (m *machine) cut(order links.Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.order = order
	_ = json.NewEncoder(m.process.Input()).Encode(order)
}

// told gives how often the daemon was started and the most memory that it had.
func (m *machine) told() (starts int, peakMB float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.starts, m.peakMB
}

// measure notes how much memory the daemon has.
func (m *machine) measure() {
	usage, err := m.running().Usage()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err == nil {
		m.peakMB = max(m.peakMB, usage.MemoryMB)
	}
}
