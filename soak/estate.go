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
	"onyxwell/deployment"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/runner"
)

// Finding is a promise that was broken, or that could not be judged.
type Finding struct {
	// Promise names it: a rule, or EXIT, LEAVE, MEMORY, INVARIANT, SERVICE, SOAK.
	Promise string
	Why     string
}

// estate is all that runs: machines, runners, platform, clients and operators.
type estate struct {
	options  Options
	layout   deployment.Layout
	began    clock.Instant
	clock    clock.Clock
	machines []*machine
	runners  []*played
	platform *deployment.Platform
	stop     func()
	history  oracle.Checker
	ledger   ledger
	// ran are the attempts that ran, unanswered those whose clients stayed and got
	// no whole answer; both only where nothing but planned work is played.
	ran        sync.Map
	unanswered sync.Map
	requests   atomic.Int64
	served     atomic.Int64

	// wiped is when the last disk was lost; 0 is never.
	wiped atomic.Int64
	// ending says that no process is started any more.
	ending   atomic.Bool
	mu       sync.Mutex
	findings []Finding
	events   *os.File
}

// services are those that the runners are dealt out to, in turn.
var services = []string{"desk", "shop"}

// played is a runner and the zone that it stands in.
type played struct {
	*runner.Runner
	zone deployment.Zone
	runs atomic.Int64
}

func newEstate(ctx scope.Scope, options Options) (*estate, error) {
	made := &estate{options: options, layout: options.layout(), clock: ctx.Clock, began: ctx.Now(), stop: func() {}}
	if err := made.layout.Free(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(options.Folder, 0o755); err != nil {
		return nil, err
	}
	events, err := os.Create(filepath.Join(options.Folder, "events.log"))
	if err != nil {
		return nil, err
	}
	made.events = events
	if err := made.startRunners(ctx); err != nil {
		return made, err
	}
	made.platform = &deployment.Platform{List: made.listed}
	if made.stop, err = deployment.Serve(made.layout.PlatformAddress(), made.platform); err != nil {
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
		go machine.keep(ctx)
	}
	return made, nil
}

func (e *estate) startRunners(ctx scope.Scope) error {
	zones := e.layout.AllZones()
	for index := range e.options.Runners {
		own := &played{zone: zones[index%len(zones)]}
		settings := runner.Defaults(services[index/len(zones)%len(services)], fmt.Sprintf("i-%d", index+1))
		settings.Seed, settings.Faults = e.options.Seed, e.options.Mix
		settings.Capacity, settings.Queue = 64, 64
		settings.ServiceTime, settings.EventInterval = 2*clock.Millisecond, clock.Millisecond
		tell := func(run oracle.Run) {
			own.runs.Add(1)
			// What the examination sends is no client's.
			if !strings.HasPrefix(run.Attempt, examPrefix) {
				e.history.RecordRun(run)
				if e.options.planned() && !run.Rejected {
					e.ran.Store(run.Attempt, true)
				}
			}
		}
		started, err := runner.Start(runner.Options{Scope: ctx, Settings: settings, Address: "127.0.0.1:0", OnRequest: tell, OnLateBody: e.history.RecordLateBody})
		if err != nil {
			return err
		}
		own.Runner = started
		e.runners = append(e.runners, own)
	}
	return nil
}

// listed is the platform's list.
func (e *estate) listed() []deployment.Listed {
	var list []deployment.Listed
	for _, played := range e.runners {
		life := played.Incarnation()
		list = append(list, deployment.Listed{
			ID: life.ID, Service: life.Service, Address: played.Address(), Zone: string(played.zone.Name),
			Version: "v1", Capacity: 64, Condition: "ready",
		})
	}
	return list
}

// role gives the machines that run a daemon.
func (e *estate) role(role string) []*machine {
	var found []*machine
	for _, machine := range e.machines {
		if machine.Role() == role {
			found = append(found, machine)
		}
	}
	return found
}

// find notes a finding.
func (e *estate) find(promise string, format string, facts ...any) {
	finding := Finding{Promise: promise, Why: fmt.Sprintf(format, facts...)}
	e.mu.Lock()
	e.findings = append(e.findings, finding)
	e.mu.Unlock()
	e.tell("FINDING %s: %s", finding.Promise, finding.Why)
}

// tell writes a line of what happens.
func (e *estate) tell(format string, facts ...any) {
	text := fmt.Sprintf("%8.3f  %s", e.clock.Now().Since(e.began).Seconds(), fmt.Sprintf(format, facts...))
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintln(e.events, text)
}

// measure looks at the memory of all daemons until the scope ends.
func (e *estate) measure(ctx scope.Scope) {
	for ctx.Wait(100 * clock.Millisecond) {
		for _, machine := range e.machines {
			machine.measure()
		}
	}
}

// end ends all that was started.
func (e *estate) end() {
	e.ending.Store(true)
	var all []*deployment.Process
	for _, machine := range e.machines {
		machine.mu.Lock()
		machine.asked = true
		if machine.process != nil {
			machine.process.Signal(continueSignal)
			all = append(all, machine.process)
		}
		machine.mu.Unlock()
	}
	deployment.Stop(all, grace+clock.Second)
	e.stop()
	for _, played := range e.runners {
		played.Close()
	}
	for _, machine := range e.machines {
		_ = machine.log.Close()
	}
	_ = e.events.Close()
}
