package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"syscall"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/controller"
	"onyxwell/data/router"
	"onyxwell/deployment"
)

const continueSignal = syscall.SIGCONT

// kind is a sort of trouble: what it does, and whether it is planned work.
type kind struct {
	name    string
	planned bool
	text    string
	play    func(e *estate, inner scope.Scope, drawn *rand.Rand)
}

var kinds []kind

func init() {
	// Filled here since the troubles speak of the estate, which speaks of them.
	kinds = []kind{
		{"term", true, "a daemon is asked to leave and is started again", termOne},
		{"hup", true, "a daemon's settings file changes, and it gets a SIGHUP", hangupOne},
		{"config", true, "three changes of the configuration come close to each other", configBurst},
		{"kill", false, "a daemon is killed and started again", killOne},
		{"herd", false, "all controllers, all routers or all daemons are killed at once", killMany},
		{"pause", false, "a daemon stands still for a while", pauseOne},
		{"cut", false, "a daemon is cut off, one way or both, from all or from the controllers", cutOne},
		{"halves", false, "the controllers are cut into two halves", halves},
		{"late", false, "a daemon's bytes come late", lateOne},
		{"lost", false, "a controller's answers are lost after the act", lostAnswers},
		{"datagrams", false, "datagrams of all daemons are lost", lostDatagrams},
		{"wipe", false, "a controller loses its disk", wipeOne},
		{"platform", false, "the platform's list is not to be had", platformDown},
		{"runner", false, "the addresses of some runners go to new lives", newLives},
		{"hold", false, "clients hold the last byte of large bodies back", holdBodies},
		{"early-signal", false, "a daemon that was just started gets a SIGHUP or a SIGTERM", earlySignal},
	}
}

// KindNames are the names of all troubles.
func KindNames() []string {
	var names []string
	for _, kind := range kinds {
		names = append(names, kind.name)
	}
	return names
}

// KindText tells what a trouble does.
func KindText(name string) string {
	kind, _ := kindNamed(name)
	return kind.text
}

func kindNamed(name string) (kind, bool) {
	for _, kind := range kinds {
		if kind.name == name {
			return kind, true
		}
	}
	return kind{}, false
}

func one[Thing any](drawn *rand.Rand, things []Thing) Thing { return things[drawn.IntN(len(things))] }

func span(drawn *rand.Rand, least clock.Span, most clock.Span) clock.Span {
	return least + clock.Span(drawn.Int64N(int64(most-least)))
}

func termOne(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	machine := one(drawn, e.machines)
	e.tell("term %s", machine.Name())
	machine.term(ctx)
}

func hangupOne(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	machine := one(drawn, e.machines)
	e.tell("hup %s", machine.Name())
	if err := machine.settle(false, drawn.IntN(3)); err != nil {
		e.find("SOAK", "settings of %s: %v", machine.Name(), err)
	}
	machine.signal(syscall.SIGHUP)
}

func configBurst(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	e.tell("config")
	own := newOperator(e, drawn)
	for range 3 {
		own.change(ctx)
	}
}

func killOne(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	machine, down := one(drawn, e.machines), span(drawn, 0, 2*clock.Second)
	e.tell("kill %s, down for %v", machine.Name(), down)
	machine.kill(down, false)
}

func killMany(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	chosen := one(drawn, [][]*machine{e.role(controller.Role), e.role(router.Role), e.machines})
	e.tell("kill %d at once, the first %s", len(chosen), chosen[0].Name())
	for _, machine := range chosen {
		machine.kill(span(drawn, 0, clock.Second), false)
	}
}

func pauseOne(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	machine, length := one(drawn, e.machines), span(drawn, 200*clock.Millisecond, 5*clock.Second)
	process := machine.running()
	e.tell("pause %s for %v", machine.Name(), length)
	process.Signal(syscall.SIGSTOP)
	ctx.Wait(length)
	process.Signal(continueSignal)
	e.tell("go on %s", machine.Name())
}

// mostDown is how long a machine that lost its disk is down at the most.
const mostDown = 2 * clock.Second

// mayWipe tells whether a disk may be lost now, and notes that it is: no more are
// lost at one time than the deployment bears. A controller's word that all is made
// good may be older than the last loss, so that the loss has its time as well.
func (e *estate) mayWipe(ctx scope.Scope) bool {
	now, last := ctx.Now(), e.wiped.Load()
	if last != 0 && now.Since(clock.Instant(last)) < mostDown+catchUp {
		return false
	}
	return e.bearsLoss(ctx) && e.wiped.CompareAndSwap(last, int64(now))
}

// wipeOne takes the disk of a controller, where one may be lost now.
func wipeOne(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	machine := one(drawn, e.role(controller.Role))
	if !e.mayWipe(ctx) {
		e.tell("wipe %s: not now, an earlier loss has not been made good", machine.Name())
		return
	}
	e.tell("wipe %s", machine.Name())
	machine.kill(span(drawn, 0, mostDown), true)
}

func platformDown(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	length := span(drawn, clock.Second, 6*clock.Second)
	e.tell("platform down for %v", length)
	e.platform.Down.Store(true)
	ctx.Wait(length)
	e.platform.Down.Store(false)
}

func newLives(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	for _, played := range e.runners {
		if drawn.IntN(4) == 0 {
			e.tell("runner %s: a new life", played.Incarnation().ID)
			played.TakeOver(played.Incarnation().Service, drawn.IntN(2) == 0)
		}
	}
}

// holdBodies has many clients send all but the last byte of large bodies to one
// router, each inside the limits.
func holdBodies(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	const count, size = 120, maxBodyBytes - 1
	machine, length := one(drawn, e.role(router.Role)), span(drawn, clock.Second, 4*clock.Second)
	e.tell("hold %d bodies at %s for %v", count, machine.Name(), length)
	head := fmt.Sprintf("POST /desk/safe/held HTTP/1.1\r\nHost: emulator.example\r\nOnyxwell-Attempt-Id: held\r\nContent-Length: %d\r\n\r\n", size)
	text := append([]byte(head), make([]byte, size-1)...)
	var held []net.Conn
	for range count {
		conn, err := net.DialTimeout("tcp", machine.Address(deployment.FrontPort), clock.Second)
		if err != nil {
			continue
		}
		held = append(held, conn)
		go func() { _, _ = conn.Write(text) }()
	}
	ctx.Wait(length)
	for _, conn := range held {
		_ = conn.Close()
	}
}

// earlySignal has a daemon meet a signal soon after its start: what may come at
// any time may come then.
func earlySignal(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	machine, signal := one(drawn, e.machines), one(drawn, []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM})
	after := span(drawn, 15*clock.Millisecond, 400*clock.Millisecond)
	old := machine.running()
	machine.kill(0, false)
	for process := old; process == old && ctx.Wait(clock.Millisecond); {
		process = machine.running()
	}
	e.tell("early %v to %s after %v", signal, machine.Name(), after)
	ctx.Wait(after)
	if signal == syscall.SIGTERM {
		machine.term(ctx)
		return
	}
	machine.signal(signal)
}
