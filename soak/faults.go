package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"

	"onyxwell/base/clock"
	"onyxwell/control/controller"
	"onyxwell/data/router"
	"onyxwell/soak/localcluster"
)

// fault is a kind of fault, or of planned work, that a run injects.
type fault struct {
	name string
	// planned says that it is planned work, which no client may notice.
	planned     bool
	description string
	// inject returns once the fault is over, or ctx has ended. What it chooses is
	// drawn from random.
	inject func(c *cluster, ctx context.Context, random *rand.Rand)
}

// catalog returns all faults. Runs draw from it by index: a seed stands for other
// faults once it is reordered.
func catalog() []fault {
	return []fault{
		{"term", true, "a daemon is shut down gracefully and started again", (*cluster).terminateDaemon},
		{"hup", true, "the boot file of a daemon changes, and it gets a SIGHUP", (*cluster).reloadSettings},
		{"config", true, "the configuration changes three times in a row", (*cluster).burstConfigChanges},
		{"kill", false, "a daemon is killed and started again", (*cluster).killDaemon},
		{"herd", false, "all controllers, all routers or all daemons are killed at once", (*cluster).killGroup},
		{"pause", false, "a daemon is stopped with SIGSTOP for a while", (*cluster).pauseDaemon},
		{"cut", false, "a daemon is partitioned, in one direction or both, from all others or from controllers", (*cluster).partitionDaemon},
		{"halves", false, "the controllers are partitioned into two groups", (*cluster).splitControllers},
		{"late", false, "the traffic of a daemon is delayed", (*cluster).delayDaemon},
		{"lost", false, "responses of a controller are lost after the request was executed", (*cluster).dropResponses},
		{"datagrams", false, "datagrams of all daemons are lost", (*cluster).dropDatagrams},
		{"wipe", false, "a controller loses its disk", (*cluster).wipeDisk},
		{"platform", false, "the platform's API is unavailable", (*cluster).failPlatform},
		{"runner", false, "the addresses of some runners go to new incarnations", (*cluster).replaceRunners},
		{"hold", false, "clients hold back the last byte of large bodies", (*cluster).holdRequestBodies},
		{"early-signal", false, "a daemon gets a SIGHUP or a SIGTERM just after its start", (*cluster).signalDuringStartup},
	}
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	var names []string
	for _, f := range catalog() {
		names = append(names, f.name)
	}
	return names
}

// FaultDescription returns what a fault does; "" for an unknown name.
func FaultDescription(name string) string {
	f, _ := faultByName(name)
	return f.description
}

func faultByName(name string) (fault, bool) {
	for _, f := range catalog() {
		if f.name == name {
			return f, true
		}
	}
	return fault{}, false
}

func pick[T any](random *rand.Rand, items []T) T { return items[random.IntN(len(items))] }

// randomDuration returns a duration from least up to, but not including, limit.
func randomDuration(random *rand.Rand, least time.Duration, limit time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(limit-least)))
}

func (c *cluster) terminateDaemon(ctx context.Context, random *rand.Rand) {
	target := pick(random, c.machines)
	c.logEvent("term %s", target.Name())
	target.terminate(ctx)
}

func (c *cluster) reloadSettings(_ context.Context, random *rand.Rand) {
	target := pick(random, c.machines)
	c.logEvent("hup %s", target.Name())
	if err := target.rewriteSettings(random.IntN(3)); err != nil {
		c.addFinding("SOAK", "settings of %s: %v", target.Name(), err)
	}
	target.signal(syscall.SIGHUP)
}

func (c *cluster) burstConfigChanges(ctx context.Context, random *rand.Rand) {
	c.logEvent("config")
	op := newOperator(c, random)
	for range 3 {
		op.changeConfig(ctx)
	}
}

func (c *cluster) killDaemon(_ context.Context, random *rand.Rand) {
	target, downtime := pick(random, c.machines), randomDuration(random, 0, 2*time.Second)
	c.logEvent("kill %s, down for %v", target.Name(), downtime)
	target.kill(downtime, false)
}

func (c *cluster) killGroup(_ context.Context, random *rand.Rand) {
	targets := pick(random, [][]*machine{c.machinesByRole(controller.Role), c.machinesByRole(router.Role), c.machines})
	c.logEvent("kill %d at once, the first %s", len(targets), targets[0].Name())
	for _, target := range targets {
		target.kill(randomDuration(random, 0, time.Second), false)
	}
}

func (c *cluster) pauseDaemon(ctx context.Context, random *rand.Rand) {
	target, length := pick(random, c.machines), randomDuration(random, 200*time.Millisecond, 5*time.Second)
	process := target.currentProcess()
	c.logEvent("pause %s for %v", target.Name(), length)
	process.Signal(syscall.SIGSTOP)
	c.wait(ctx, length)
	c.duties.resumed(target.Name(), c.clock.Now())
	process.Signal(syscall.SIGCONT)
	c.logEvent("resume %s", target.Name())
}

// maxDiskLossDowntime is the longest downtime of a machine that lost its disk.
const maxDiskLossDowntime = 2 * time.Second

// wipeDisk takes the disk of a controller, where the cluster tolerates the loss
// of one more.
func (c *cluster) wipeDisk(ctx context.Context, random *rand.Rand) {
	target := pick(random, c.machinesByRole(controller.Role))
	if !c.reserveDiskLoss(ctx) {
		c.logEvent("wipe %s: skipped, an earlier loss is not repaired yet", target.Name())
		return
	}
	c.logEvent("wipe %s", target.Name())
	c.counters.DiskLost()
	target.kill(randomDuration(random, 0, maxDiskLossDowntime), true)
}

// reserveDiskLoss reports whether a disk may be lost now, and if so counts it as
// lost: never more are lost at a time than the cluster tolerates. Since a
// controller's status may be older than the last loss, that loss also gets the
// time to be repaired.
func (c *cluster) reserveDiskLoss(ctx context.Context) bool {
	now, last := c.clock.Now(), c.lastDiskLoss.Load()
	if last != 0 && now.Since(clock.Instant(last)) < maxDiskLossDowntime+localcluster.CatchUpWithin {
		return false
	}
	return c.toleratesLoss(ctx) && c.lastDiskLoss.CompareAndSwap(last, int64(now))
}

func (c *cluster) failPlatform(ctx context.Context, random *rand.Rand) {
	length := randomDuration(random, time.Second, 6*time.Second)
	c.logEvent("platform unavailable for %v", length)
	c.platform.Unavailable.Store(true)
	c.wait(ctx, length)
	c.platform.Unavailable.Store(false)
}

func (c *cluster) replaceRunners(_ context.Context, random *rand.Rand) {
	for _, zr := range c.runners {
		if random.IntN(4) == 0 {
			c.logEvent("runner %s: new incarnation", zr.Incarnation().ID)
			zr.TakeOver(zr.Incarnation().Service, random.IntN(2) == 0)
		}
	}
}

// holdRequestBodies has many clients send all but the last byte of large bodies
// to one router, each within the limits of the configuration.
func (c *cluster) holdRequestBodies(ctx context.Context, random *rand.Rand) {
	const clients, bodyBytes = 120, maxBodyBytes - 1
	target, length := pick(random, c.machinesByRole(router.Role)), randomDuration(random, time.Second, 4*time.Second)
	c.logEvent("hold %d bodies at %s for %v", clients, target.Name(), length)
	head := fmt.Sprintf("POST /desk/safe/held HTTP/1.1\r\nHost: emulator.example\r\nOnyxwell-Attempt-Id: held\r\nContent-Length: %d\r\n\r\n", bodyBytes)
	request := append([]byte(head), make([]byte, bodyBytes-1)...)
	var conns []net.Conn
	var writes sync.WaitGroup
	defer writes.Wait()
	for range clients {
		conn, err := net.DialTimeout("tcp", target.Address(localcluster.FrontPort), time.Second)
		if err != nil {
			continue
		}
		conns = append(conns, conn)
		writes.Add(1)
		go func() {
			defer writes.Done()
			_, _ = conn.Write(request)
		}()
	}
	c.wait(ctx, length)
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// signalDuringStartup restarts a daemon and signals it soon after.
func (c *cluster) signalDuringStartup(ctx context.Context, random *rand.Rand) {
	target, signal := pick(random, c.machines), pick(random, []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM})
	delay := randomDuration(random, 15*time.Millisecond, 400*time.Millisecond)
	old := target.currentProcess()
	target.kill(0, false)
	for process := old; process == old && c.wait(ctx, time.Millisecond); {
		process = target.currentProcess()
	}
	c.logEvent("early-signal %v to %s, %v after its start", signal, target.Name(), delay)
	c.wait(ctx, delay)
	if signal == syscall.SIGTERM {
		target.terminate(ctx)
		return
	}
	target.signal(signal)
}
