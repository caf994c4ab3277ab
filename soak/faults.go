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
	"onyxwell/soak/localcluster"
)

const continueSignal = syscall.SIGCONT

// fault is a sort of trouble: what it does, and whether it is planned work.
type fault struct {
	name        string
	planned     bool
	description string
	inject      func(e *cluster, inner scope.Scope, drawn *rand.Rand)
}

var faults []fault

func init() {
	// Filled here since the troubles speak of the estate, which speaks of them.
	faults = []fault{
		{"term", true, "a daemon is asked to leave and is started again", terminateDaemon},
		{"hup", true, "a daemon's settings file changes, and it gets a SIGHUP", reloadSettings},
		{"config", true, "three changes of the configuration come close to each other", burstConfigChanges},
		{"kill", false, "a daemon is killed and started again", killDaemon},
		{"herd", false, "all controllers, all routers or all daemons are killed at once", killGroup},
		{"pause", false, "a daemon stands still for a while", pauseDaemon},
		{"cut", false, "a daemon is cut off, one way or both, from all or from the controllers", partitionDaemon},
		{"halves", false, "the controllers are cut into two halves", splitControllers},
		{"late", false, "a daemon's bytes come late", delayDaemon},
		{"lost", false, "a controller's answers are lost after the act", dropResponses},
		{"datagrams", false, "datagrams of all daemons are lost", dropDatagrams},
		{"wipe", false, "a controller loses its disk", wipeDisk},
		{"platform", false, "the platform's list is not to be had", failPlatform},
		{"runner", false, "the addresses of some runners go to new lives", replaceRunners},
		{"hold", false, "clients hold the last byte of large bodies back", holdRequestBodies},
		{"early-signal", false, "a daemon that was just started gets a SIGHUP or a SIGTERM", signalDuringStartup},
	}
}

// FaultNames are the names of all troubles.
func FaultNames() []string {
	var names []string
	for _, kind := range faults {
		names = append(names, kind.name)
	}
	return names
}

// FaultDescription tells what a trouble does.
func FaultDescription(name string) string {
	kind, _ := faultByName(name)
	return kind.description
}

func faultByName(name string) (fault, bool) {
	for _, kind := range faults {
		if kind.name == name {
			return kind, true
		}
	}
	return fault{}, false
}

func pick[Thing any](drawn *rand.Rand, things []Thing) Thing { return things[drawn.IntN(len(things))] }

func randomDuration(drawn *rand.Rand, least clock.Span, most clock.Span) clock.Span {
	return least + clock.Span(drawn.Int64N(int64(most-least)))
}

func terminateDaemon(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	machine := pick(drawn, e.machines)
	e.logEvent("term %s", machine.Name())
	machine.terminate(ctx)
}

func reloadSettings(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	machine := pick(drawn, e.machines)
	e.logEvent("hup %s", machine.Name())
	if err := machine.writeSettings(false, drawn.IntN(3)); err != nil {
		e.addFinding("SOAK", "settings of %s: %v", machine.Name(), err)
	}
	machine.signal(syscall.SIGHUP)
}

func burstConfigChanges(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	e.logEvent("config")
	own := newOperator(e, drawn)
	for range 3 {
		own.changeConfig(ctx)
	}
}

func killDaemon(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	machine, down := pick(drawn, e.machines), randomDuration(drawn, 0, 2*clock.Second)
	e.logEvent("kill %s, down for %v", machine.Name(), down)
	machine.kill(down, false)
}

func killGroup(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	chosen := pick(drawn, [][]*machine{e.machinesByRole(controller.Role), e.machinesByRole(router.Role), e.machines})
	e.logEvent("kill %d at once, the first %s", len(chosen), chosen[0].Name())
	for _, machine := range chosen {
		machine.kill(randomDuration(drawn, 0, clock.Second), false)
	}
}

func pauseDaemon(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	machine, length := pick(drawn, e.machines), randomDuration(drawn, 200*clock.Millisecond, 5*clock.Second)
	process := machine.currentProcess()
	e.logEvent("pause %s for %v", machine.Name(), length)
	process.Signal(syscall.SIGSTOP)
	ctx.Wait(length)
	process.Signal(continueSignal)
	e.logEvent("go on %s", machine.Name())
}

// maxDiskLossDowntime is how long a machine that lost its disk is down at the most.
const maxDiskLossDowntime = 2 * clock.Second

// reserveDiskLoss tells whether a disk may be lost now, and notes that it is: no more are
// lost at one time than the deployment bears. A controller's word that all is made
// good may be older than the last loss, so that the loss has its time as well.
func (c *cluster) reserveDiskLoss(ctx scope.Scope) bool {
	now, last := ctx.Now(), c.lastDiskLoss.Load()
	if last != 0 && now.Since(clock.Instant(last)) < maxDiskLossDowntime+catchUpWithin {
		return false
	}
	return c.toleratesLoss(ctx) && c.lastDiskLoss.CompareAndSwap(last, int64(now))
}

// wipeDisk takes the disk of a controller, where one may be lost now.
func wipeDisk(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	machine := pick(drawn, e.machinesByRole(controller.Role))
	if !e.reserveDiskLoss(ctx) {
		e.logEvent("wipe %s: not now, an earlier loss has not been made good", machine.Name())
		return
	}
	e.logEvent("wipe %s", machine.Name())
	machine.kill(randomDuration(drawn, 0, maxDiskLossDowntime), true)
}

func failPlatform(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	length := randomDuration(drawn, clock.Second, 6*clock.Second)
	e.logEvent("platform down for %v", length)
	e.platform.Unavailable.Store(true)
	ctx.Wait(length)
	e.platform.Unavailable.Store(false)
}

func replaceRunners(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	for _, played := range e.runners {
		if drawn.IntN(4) == 0 {
			e.logEvent("runner %s: a new life", played.Incarnation().ID)
			played.TakeOver(played.Incarnation().Service, drawn.IntN(2) == 0)
		}
	}
}

// holdRequestBodies has many clients send all but the last byte of large bodies to one
// router, each inside the limits.
func holdRequestBodies(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	const count, size = 120, maxBodyBytes - 1
	machine, length := pick(drawn, e.machinesByRole(router.Role)), randomDuration(drawn, clock.Second, 4*clock.Second)
	e.logEvent("hold %d bodies at %s for %v", count, machine.Name(), length)
	head := fmt.Sprintf("POST /desk/safe/held HTTP/1.1\r\nHost: emulator.example\r\nOnyxwell-Attempt-Id: held\r\nContent-Length: %d\r\n\r\n", size)
	text := append([]byte(head), make([]byte, size-1)...)
	var held []net.Conn
	for range count {
		conn, err := net.DialTimeout("tcp", machine.Address(localcluster.FrontPort), clock.Second)
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

// signalDuringStartup has a daemon meet a signal soon after its start: what may come at
// any time may come then.
func signalDuringStartup(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	machine, signal := pick(drawn, e.machines), pick(drawn, []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM})
	after := randomDuration(drawn, 15*clock.Millisecond, 400*clock.Millisecond)
	old := machine.currentProcess()
	machine.kill(0, false)
	for process := old; process == old && ctx.Wait(clock.Millisecond); {
		process = machine.currentProcess()
	}
	e.logEvent("early %v to %s after %v", signal, machine.Name(), after)
	ctx.Wait(after)
	if signal == syscall.SIGTERM {
		machine.terminate(ctx)
		return
	}
	machine.signal(signal)
}
