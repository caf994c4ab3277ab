package simulation

import (
	"context"
	"fmt"
	"net/http"

	"onyxwell/base/boot"
	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/controller"
	"onyxwell/simulation/disk"
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
	disk    *disk.Disk
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

func (life *life) over() bool {
	select {
	case <-life.dead:
		return true
	default:
		return false
	}
}

// start gives the machine a new process.
func (machine *Machine) start(first bool) {
	if machine.life != nil || machine.dark || machine.gone || machine.leaves {
		return
	}
	machine.births++
	ctx, end := context.WithCancel(context.Background())
	born := &life{
		machine: machine, number: machine.births, dead: make(chan struct{}), end: end,
		handlers: map[ids.Address]http.Handler{}, sockets: map[ids.Address]*socket{},
	}
	machine.world.lock.Lock()
	born.newest = machine.world.known.version
	machine.world.lock.Unlock()
	machine.life = born
	settings := machine.world.settings(machine, first)
	top := scope.New(scope.Options{
		Clock: steady{machine: machine, offset: machine.world.between("boot "+machine.name, clock.Second, 1000*clock.Second) - machine.world.now()},
		Boot:  settings, Log: machine.world.log(machine),
	}).Under(ctx)
	machine.world.note("start", machine, "life", born.number, "first", first)
	run := born.controller
	if machine.carries {
		run = born.carry
	}
	go func() {
		err := run(top)
		machine.world.after(0, func() { machine.ended(born, err) })
	}()
}

func (life *life) controller(top scope.Scope) error {
	made, err := controller.New(top, controller.Options{Network: life, Disk: life.mount(top)})
	if err != nil {
		return err
	}
	life.machine.world.after(0, func() {
		if !life.over() {
			life.control = made
			life.machine.begins()
		}
	})
	return made.Run(top, make(chan *boot.Boot))
}

// ended starts a process again that ended by itself.
func (machine *Machine) ended(was *life, err error) {
	if machine.life != was {
		return
	}
	machine.world.note("ended", machine, "fault", fmt.Sprint(err))
	machine.die()
	machine.timer(500*clock.Millisecond, func() { machine.start(false) })
}

// die ends the process at once; what it wrote stays.
func (machine *Machine) die() {
	if machine.life == nil {
		return
	}
	machine.ends()
	machine.disk.Kill()
	close(machine.life.dead)
	machine.life.end()
	machine.life = nil
	machine.frozen = false
	machine.wakeUp()
}

// wakeUp lets happen what waited while the machine stood still.
func (machine *Machine) wakeUp() {
	late := machine.late
	machine.late = nil
	for _, act := range late {
		act()
	}
	machine.unstall()
}

func (machine *Machine) unstall() {
	waiting := machine.trouble.waiting
	machine.trouble.waiting = nil
	for _, act := range waiting {
		act()
	}
}

// pause is how long the disk takes for an act.
func (machine *Machine) pause(act string, bytes int) error {
	here := machine.life
	if here == nil || here.over() {
		return disk.ErrDead
	}
	trouble, world := &machine.trouble, machine.world
	writing := act != disk.ActRead
	if writing && trouble.refuses && act != disk.ActAppend {
		return errRefused
	}
	if trouble.full && act == disk.ActWrite {
		return disk.ErrFull
	}
	span := clock.Span(bytes) * clock.Second / (120 << 20)
	if act == disk.ActSync || act == disk.ActFolder {
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
		goOn = func() { machine.deliver(func() { close(done) }) }
		world.lock.Lock()
		trouble.waiting = append(trouble.waiting, goOn)
		world.lock.Unlock()
	} else {
		machine.timer(span, goOn)
	}
	select {
	case <-done:
		return nil
	case <-here.dead:
		return disk.ErrDead
	}
}
