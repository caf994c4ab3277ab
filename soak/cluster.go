package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/runner"
	"onyxwell/soak/localcluster"
)

// Finding is a promise that was broken, or that could not be judged.
type Finding struct {
	// Rule names it: a rule, or EXIT, LEAVE, MEMORY, INVARIANT, SERVICE, SOAK.
	Rule   string
	Detail string
}

// cluster is all that runs: machines, runners, platform, clients and operators.
type cluster struct {
	options      Options
	layout       localcluster.Layout
	startedAt    clock.Instant
	clock        clock.Clock
	machines     []*machine
	runners      []*zoneRunner
	platform     *localcluster.Platform
	stopPlatform func()
	oracle       oracle.Checker
	history      configHistory
	// executed are the attempts that ran, unanswered those whose clients stayed and got
	// no whole answer; both only where nothing but planned work is played.
	executed   sync.Map
	unanswered sync.Map
	requests   atomic.Int64
	served     atomic.Int64

	// lastDiskLoss is when the last disk was lost; 0 is never.
	lastDiskLoss atomic.Int64
	// stopping says that no process is started any more.
	stopping atomic.Bool
	mu       sync.Mutex
	findings []Finding
	eventLog *os.File
}

// serviceNames are those that the runners are dealt out to, in turn.
var serviceNames = []string{"desk", "shop"}

// zoneRunner is a runner and the zone that it stands in.
type zoneRunner struct {
	*runner.Runner
	zone       localcluster.Zone
	executions atomic.Int64
}

func newCluster(ctx scope.Scope, options Options) (*cluster, error) {
	made := &cluster{options: options, layout: options.layout(), clock: ctx.Clock, startedAt: ctx.Now(), stopPlatform: func() {}}
	if err := made.layout.CheckAddressesFree(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(options.Dir, 0o755); err != nil {
		return nil, err
	}
	events, err := os.Create(filepath.Join(options.Dir, "events.log"))
	if err != nil {
		return nil, err
	}
	made.eventLog = events
	if err := made.startRunners(ctx); err != nil {
		return made, err
	}
	made.platform = &localcluster.Platform{ListRunners: made.listRunners}
	if made.stopPlatform, err = localcluster.Serve(made.layout.PlatformAddress(), made.platform); err != nil {
		return made, err
	}
	for _, place := range made.layout.Machines() {
		machine, err := newMachine(made, place)
		if err == nil {
			err = machine.start()
		}
		if err != nil {
			return made, err
		}
		made.machines = append(made.machines, machine)
		go machine.supervise(ctx)
	}
	return made, nil
}

func (c *cluster) startRunners(ctx scope.Scope) error {
	zones := c.layout.AllZones()
	for index := range c.options.Runners {
		own := &zoneRunner{zone: zones[index%len(zones)]}
		settings := runner.Defaults(serviceNames[index/len(zones)%len(serviceNames)], fmt.Sprintf("i-%d", index+1))
		settings.Seed, settings.Faults = c.options.Seed, c.options.RunnerFaults
		settings.Capacity, settings.Queue = 64, 64
		settings.ServiceTime, settings.EventInterval = 2*clock.Millisecond, clock.Millisecond
		tell := func(run oracle.Run) {
			own.executions.Add(1)
			// What the examination sends is no client's.
			if !strings.HasPrefix(run.Attempt, checkAttemptPrefix) {
				c.oracle.RecordRun(run)
				if c.options.plannedOnly() && !run.Rejected {
					c.executed.Store(run.Attempt, true)
				}
			}
		}
		started, err := runner.Start(runner.Options{Scope: ctx, Settings: settings, Address: "127.0.0.1:0", OnRequest: tell, OnLateBody: c.oracle.RecordLateBody})
		if err != nil {
			return err
		}
		own.Runner = started
		c.runners = append(c.runners, own)
	}
	return nil
}

// listRunners is the platform's list.
func (c *cluster) listRunners() []localcluster.ListedRunner {
	var list []localcluster.ListedRunner
	for _, played := range c.runners {
		life := played.Incarnation()
		list = append(list, localcluster.ListedRunner{
			ID: life.ID, Service: life.Service, Address: played.Address(), Zone: string(played.zone.Name),
			Version: "v1", Capacity: 64, Condition: "ready",
		})
	}
	return list
}

// machinesByRole gives the machines that run a daemon.
func (c *cluster) machinesByRole(role string) []*machine {
	var found []*machine
	for _, machine := range c.machines {
		if machine.Role() == role {
			found = append(found, machine)
		}
	}
	return found
}

// addFinding notes a finding.
func (c *cluster) addFinding(promise string, format string, facts ...any) {
	finding := Finding{Rule: promise, Detail: fmt.Sprintf(format, facts...)}
	c.mu.Lock()
	c.findings = append(c.findings, finding)
	c.mu.Unlock()
	c.logEvent("FINDING %s: %s", finding.Rule, finding.Detail)
}

// logEvent writes a line of what happens.
func (c *cluster) logEvent(format string, facts ...any) {
	text := fmt.Sprintf("%8.3f  %s", c.clock.Now().Since(c.startedAt).Seconds(), fmt.Sprintf(format, facts...))
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintln(c.eventLog, text)
}

// sampleMemory looks at the memory of all daemons until the scope ends.
func (c *cluster) sampleMemory(ctx scope.Scope) {
	for ctx.Wait(100 * clock.Millisecond) {
		for _, machine := range c.machines {
			machine.sampleMemory()
		}
	}
}

// close ends all that was started.
func (c *cluster) close() {
	c.stopping.Store(true)
	var all []*localcluster.Process
	for _, machine := range c.machines {
		machine.mu.Lock()
		machine.stopRequested = true
		if machine.process != nil {
			machine.process.Signal(continueSignal)
			all = append(all, machine.process)
		}
		machine.mu.Unlock()
	}
	localcluster.StopAll(all, gracePeriod+clock.Second)
	c.stopPlatform()
	for _, played := range c.runners {
		played.Close()
	}
	for _, machine := range c.machines {
		_ = machine.log.Close()
	}
	_ = c.eventLog.Close()
}
