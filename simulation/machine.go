package simulation

import (
	"context"
	"fmt"
	"net/http"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/controller"
	"onyxwell/simulation/simdisk"
)

// Machine is one simulated machine; it outlives its processes.
type Machine struct {
	cluster *Cluster
	name    string
	ip      string
	zone    ids.Zone
	region  ids.Region
	// isRouter says that it runs a router and no controller.
	isRouter  bool
	disk      *simdisk.Disk
	diskFault diskFault
	process   *process
	frozen    bool
	deferred  []func()
	// poweredOff machines have no power, gone ones never come back.
	// One that leaves does not start again.
	poweredOff bool
	removed    bool
	leaving    bool
	// lastFaultChange is when trouble on it last began or ended; troubled counts the
	// troubles that it is in.
	lastFaultChange clock.Span
	activeFaults    int
	starts          int
	durable         durableState
	diskDraws       int
}

// diskFault is what ails a disk now.
type diskFault struct {
	stalled bool
	slow    float64
	refuses bool
	full    bool
	waiting []func()
}

// process is one process on a machine.
type process struct {
	machine  *Machine
	number   int
	dead     chan struct{}
	cancel   context.CancelFunc
	handlers map[ids.Address]http.Handler
	sockets  map[ids.Address]*socket
	control  *controller.Controller
	router   *router
	// ackedVersionAtStart is the newest version that was acknowledged before the start.
	ackedVersionAtStart int64
}

func (p *process) isDead() bool {
	select {
	case <-p.dead:
		return true
	default:
		return false
	}
}

// start gives the machine a new process.
func (m *Machine) start(first bool) {
	if m.process != nil || m.poweredOff || m.removed || m.leaving {
		return
	}
	m.starts++
	ctx, end := context.WithCancel(context.Background())
	born := &process{
		machine: m, number: m.starts, dead: make(chan struct{}), cancel: end,
		handlers: map[ids.Address]http.Handler{}, sockets: map[ids.Address]*socket{},
	}
	m.cluster.mu.Lock()
	born.ackedVersionAtStart = m.cluster.known.version
	m.cluster.mu.Unlock()
	m.process = born
	settings := m.cluster.nodeSettings(m, first)
	top := scope.New(scope.Options{
		Clock:    machineClock{machine: m, offset: m.cluster.drawBetween("boot "+m.name, clock.Second, 1000*clock.Second) - m.cluster.now()},
		Settings: settings, Log: m.cluster.processLogger(m),
	}).WithContext(ctx)
	m.cluster.trace("start", m, "life", born.number, "first", first)
	run := born.runController
	if m.isRouter {
		run = born.runRouter
	}
	go func() {
		err := run(top)
		m.cluster.after(0, func() { m.handleExit(born, err) })
	}()
}

func (p *process) runController(top scope.Scope) error {
	made, err := controller.New(top, controller.Options{Network: p, Disk: p.mountDisk(top)})
	if err != nil {
		return err
	}
	p.machine.cluster.after(0, func() {
		if !p.isDead() {
			p.control = made
			p.machine.checkDurableState()
		}
	})
	return made.Run(top, make(chan *settings.Settings))
}

// handleExit starts a process again that ended by itself.
func (m *Machine) handleExit(was *process, err error) {
	if m.process != was {
		return
	}
	m.cluster.trace("ended", m, "fault", fmt.Sprint(err))
	m.kill()
	m.timer(500*clock.Millisecond, func() { m.start(false) })
}

// kill ends the process at once; what it wrote stays.
func (m *Machine) kill() {
	if m.process == nil {
		return
	}
	m.recordDurableState()
	m.disk.Kill()
	close(m.process.dead)
	m.process.cancel()
	m.process = nil
	m.frozen = false
	m.resume()
}

// resume lets happen what waited while the machine stood still.
func (m *Machine) resume() {
	late := m.deferred
	m.deferred = nil
	for _, act := range late {
		act()
	}
	m.unstallDisk()
}

func (m *Machine) unstallDisk() {
	waiting := m.diskFault.waiting
	m.diskFault.waiting = nil
	for _, act := range waiting {
		act()
	}
}

// diskDelay is how long the disk takes for an act.
func (m *Machine) diskDelay(act string, bytes int) error {
	here := m.process
	if here == nil || here.isDead() {
		return simdisk.ErrProcessDead
	}
	trouble, world := &m.diskFault, m.cluster
	writing := act != simdisk.OpRead
	if writing && trouble.refuses && act != simdisk.OpAppend {
		return errDiskRefused
	}
	if trouble.full && act == simdisk.OpWrite {
		return simdisk.ErrFull
	}
	span := clock.Span(bytes) * clock.Second / (120 << 20)
	if act == simdisk.OpSync || act == simdisk.OpSyncFolder {
		span += world.options.Site.SyncLatency
	}
	if trouble.slow > 1 {
		span = clock.Span(float64(span) * trouble.slow)
	}
	if span == 0 && !trouble.stalled {
		return nil
	}
	done := make(chan struct{})
	goOn := func() { close(done) }
	if trouble.stalled {
		goOn = func() { m.deliver(func() { close(done) }) }
		world.mu.Lock()
		trouble.waiting = append(trouble.waiting, goOn)
		world.mu.Unlock()
	} else {
		m.timer(span, goOn)
	}
	select {
	case <-done:
		return nil
	case <-here.dead:
		return simdisk.ErrProcessDead
	}
}
