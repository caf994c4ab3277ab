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
	world  *World
	name   string
	ip     string
	zone   ids.Zone
	region ids.Region
	// carries says that it runs a router and no controller.
	carries bool
	disk    *simdisk.Disk
	trouble diskTrouble
	life    *life
	frozen  bool
	late    []func()
	// dark machines have no power, gone ones never come back.
	// One that leaves does not start again.
	dark   bool
	gone   bool
	leaves bool
	// touched is when trouble on it last began or ended; troubled counts the
	// troubles that it is in.
	touched  clock.Span
	troubled int
	births   int
	lasting  lasting
	draws    int
}

// diskTrouble is what ails a disk now.
type diskTrouble struct {
	stalled bool
	slow    float64
	refuses bool
	full    bool
	waiting []func()
}

// life is one process on a machine.
type life struct {
	machine  *Machine
	number   int
	dead     chan struct{}
	end      context.CancelFunc
	handlers map[ids.Address]http.Handler
	sockets  map[ids.Address]*socket
	control  *controller.Controller
	router   *router
	// newest is the newest version that was acknowledged before the start.
	newest int64
}

func (l *life) over() bool {
	select {
	case <-l.dead:
		return true
	default:
		return false
	}
}

// start gives the machine a new process.
func (m *Machine) start(first bool) {
	if m.life != nil || m.dark || m.gone || m.leaves {
		return
	}
	m.births++
	ctx, end := context.WithCancel(context.Background())
	born := &life{
		machine: m, number: m.births, dead: make(chan struct{}), end: end,
		handlers: map[ids.Address]http.Handler{}, sockets: map[ids.Address]*socket{},
	}
	m.world.mu.Lock()
	born.newest = m.world.known.version
	m.world.mu.Unlock()
	m.life = born
	settings := m.world.settings(m, first)
	top := scope.New(scope.Options{
		Clock:    steady{machine: m, offset: m.world.between("boot "+m.name, clock.Second, 1000*clock.Second) - m.world.now()},
		Settings: settings, Log: m.world.log(m),
	}).WithContext(ctx)
	m.world.note("start", m, "life", born.number, "first", first)
	run := born.controller
	if m.carries {
		run = born.carry
	}
	go func() {
		err := run(top)
		m.world.after(0, func() { m.ended(born, err) })
	}()
}

func (l *life) controller(top scope.Scope) error {
	made, err := controller.New(top, controller.Options{Network: l, Disk: l.mount(top)})
	if err != nil {
		return err
	}
	l.machine.world.after(0, func() {
		if !l.over() {
			l.control = made
			l.machine.begins()
		}
	})
	return made.Run(top, make(chan *settings.Settings))
}

// ended starts a process again that ended by itself.
func (m *Machine) ended(was *life, err error) {
	if m.life != was {
		return
	}
	m.world.note("ended", m, "fault", fmt.Sprint(err))
	m.die()
	m.timer(500*clock.Millisecond, func() { m.start(false) })
}

// die ends the process at once; what it wrote stays.
func (m *Machine) die() {
	if m.life == nil {
		return
	}
	m.ends()
	m.disk.Kill()
	close(m.life.dead)
	m.life.end()
	m.life = nil
	m.frozen = false
	m.wakeUp()
}

// wakeUp lets happen what waited while the machine stood still.
func (m *Machine) wakeUp() {
	late := m.late
	m.late = nil
	for _, act := range late {
		act()
	}
	m.unstall()
}

func (m *Machine) unstall() {
	waiting := m.trouble.waiting
	m.trouble.waiting = nil
	for _, act := range waiting {
		act()
	}
}

// pause is how long the disk takes for an act.
func (m *Machine) pause(act string, bytes int) error {
	here := m.life
	if here == nil || here.over() {
		return simdisk.ErrDead
	}
	trouble, world := &m.trouble, m.world
	writing := act != simdisk.ActRead
	if writing && trouble.refuses && act != simdisk.ActAppend {
		return errRefused
	}
	if trouble.full && act == simdisk.ActWrite {
		return simdisk.ErrFull
	}
	span := clock.Span(bytes) * clock.Second / (120 << 20)
	if act == simdisk.ActSync || act == simdisk.ActFolder {
		span += world.options.Site.Sync
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
		return simdisk.ErrDead
	}
}
