package simulation

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/controller"
	"onyxwell/control/state/wal"
)

// restartDelay is how long a process that exited by itself stays away.
const restartDelay = 500 * time.Millisecond

// process is one run of a daemon on a machine. It is the daemon's network.
type process struct {
	machine *Machine
	// number counts the machine's processes from 1.
	number int
	clock  machineClock
	// dead is closed when the process is killed or has exited.
	dead     chan struct{}
	cancel   context.CancelFunc
	handlers map[ids.Address]http.Handler
	sockets  map[ids.Address]*socket
	// startedAt is when it started, stopping says that it was told to shut down.
	startedAt time.Duration
	stopping  bool
	// controller or router is set once the daemon is assembled.
	controller *controller.Controller
	router     *router
	// ackedVersionAtStart is the newest configuration version that was acknowledged
	// to a client before the start.
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

// start starts a process, unless one runs or the machine can run none. First says
// that it is the deployment's first start.
func (m *Machine) start(first bool) {
	if m.process != nil || m.poweredOff || m.removed || m.leaving {
		return
	}
	m.starts++
	ctx, cancel := context.WithCancel(context.Background())
	started := &process{
		machine: m, number: m.starts, dead: make(chan struct{}), cancel: cancel,
		handlers: map[ids.Address]http.Handler{}, sockets: map[ids.Address]*socket{},
		ackedVersionAtStart: m.cluster.knownVersion(), startedAt: m.cluster.now(),
	}
	m.process = started
	m.cluster.noteStart()
	nodeSettings := m.cluster.nodeSettings(m, first)
	started.clock = machineClock{machine: m, offset: m.cluster.drawBetween("boot "+m.name, time.Second, 1000*time.Second) - m.cluster.now()}
	env := scope.New(scope.Options{Clock: started.clock, Settings: nodeSettings, Log: m.cluster.processLogger(m)}).WithContext(ctx)
	m.cluster.trace("process started", m, "process", started.number, "first_start", first)
	run := started.runController
	if m.isRouter {
		run = started.runRouter
	}
	go func() {
		err := run(env)
		m.cluster.after(0, func() { m.handleExit(started, err) })
	}()
}

func (p *process) runController(env scope.Scope) error {
	assembled, err := controller.New(env, controller.Options{Network: p, Disk: p.mountDisk()})
	if err != nil {
		return err
	}
	p.machine.cluster.after(0, func() {
		if !p.isDead() {
			p.controller = assembled
			p.machine.checkDurableState()
		}
	})
	return assembled.Run(env, make(chan *settings.Settings))
}

// mountDisk mounts the machine's disk, with what a planted bug does to it.
func (p *process) mountDisk() wal.FS {
	planted := p.machine.cluster.options.bug
	if planted.BeforeStart != nil {
		planted.BeforeStart(p)
	}
	if planted.WrapFS == nil {
		return p.machine.disk.Mount()
	}
	return planted.WrapFS(p.machine.disk.Mount())
}

// handleExit restarts a process that exited by itself.
func (m *Machine) handleExit(exited *process, err error) {
	if m.process != exited {
		return
	}
	m.cluster.trace("process exited", m, "error", fmt.Sprint(err))
	m.kill()
	m.timer(restartDelay, func() { m.start(false) })
}
