package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/runner"
	"onyxwell/soak/localcluster"
)

// cluster is what a run starts: machines with daemons, runners and the platform,
// and what is recorded for the checks.
type cluster struct {
	*recorder
	options      Options
	layout       localcluster.Layout
	machines     []*machine
	runners      []*zoneRunner
	platform     *localcluster.Platform
	stopPlatform func()
	// background are the supervisors of the machines and the memory sampler.
	background sync.WaitGroup
	// stopping is set once no process may be started any more.
	stopping atomic.Bool

	checker              oracle.Checker
	history              configHistory
	quota                quotaRecord
	duties               dutyRecord
	rollout, calmRollout rolloutRecord
	// counters is what the applications know.
	counters *oracle.CounterLedger
	// executed holds the attempts that ran, unanswered those whose clients waited and
	// got no complete response, with what they got. Both are filled only where just
	// planned work is injected.
	executed   sync.Map
	unanswered sync.Map
	requests   atomic.Int64
	served     atomic.Int64
	// lastDiskLoss is the instant at which the last disk was lost; 0 is never.
	lastDiskLoss atomic.Int64
}

// serviceNames are the services that the runners are dealt out to in turn.
var serviceNames = []string{"desk", "shop"}

const (
	// runnerSlots is how many requests a runner runs at once, and how many more may
	// wait.
	runnerSlots         = 64
	runnerServiceTime   = 2 * time.Millisecond
	runnerEventInterval = time.Millisecond

	memorySampleInterval = 100 * time.Millisecond
)

// zoneRunner is a runner with its zone, its version and the service that it was started for.
type zoneRunner struct {
	*runner.Runner
	zone       ids.Zone
	version    string
	service    string
	executions atomic.Int64
}

// newCluster starts everything. Also after an error, close must be called on a
// cluster that is not nil, once ctx has ended.
func newCluster(ctx context.Context, clk clock.Clock, options Options) (*cluster, error) {
	layout := options.layout()
	if err := layout.CheckAddressesFree(); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(options.Dir, 0o755); err != nil {
		return nil, err
	}
	rec, err := newRecorder(clk, options.Dir)
	if err != nil {
		return nil, err
	}
	c := &cluster{
		recorder: rec, options: options, layout: layout, stopPlatform: func() {},
		counters: oracle.NewCounterLedger(localcluster.MergeWithin, clk.Now().Since(0)),
	}
	c.rollout.service, c.calmRollout.service, c.calmRollout.calm = rolledService, calmService, true
	c.rollout.bad = c.random(streamRollout).IntN(2) == 0
	if err := c.startRunners(ctx); err != nil {
		return c, err
	}
	c.platform = &localcluster.Platform{ListRunners: c.listRunners, OnDuty: c.recordDuty}
	stopPlatform, err := localcluster.Serve(layout.PlatformAddress(), c.platform)
	if err != nil {
		return c, err
	}
	c.stopPlatform = stopPlatform
	return c, c.startMachines(ctx)
}

func (c *cluster) startRunners(ctx context.Context) error {
	zones := c.layout.AllZones()
	for index := range c.options.Runners {
		name := serviceNames[index/len(zones)%len(serviceNames)]
		zr, err := c.startRunner(ctx, name, fmt.Sprintf("i-%d", index+1), zones[index%len(zones)].Name, oldVersion, c.options.RunnerFaults)
		if err != nil {
			return err
		}
		c.runners = append(c.runners, zr)
	}
	return nil
}

// startRunner starts a runner of a service and a version in a zone.
func (c *cluster) startRunner(ctx context.Context, service, id string, zone ids.Zone, version string, faults runner.FaultRates) (*zoneRunner, error) {
	zr := &zoneRunner{zone: zone, version: version, service: service}
	settings := runner.Defaults(service, id)
	settings.Seed, settings.Faults = c.options.Seed, faults
	settings.Capacity, settings.Queue = runnerSlots, runnerSlots
	settings.ServiceTime, settings.EventInterval = runnerServiceTime, runnerEventInterval
	started, err := runner.Start(runner.Options{
		Scope: c.scope(ctx), Settings: settings, Address: "127.0.0.1:0",
		OnRequest:  func(run oracle.Run) { c.recordRun(zr, run) },
		OnLateBody: c.checker.RecordLateBody,
	})
	if err != nil {
		return nil, err
	}
	zr.Runner = started
	return zr, nil
}

// recordRun records what a runner got, but for requests of the checks, which no
// client sent.
func (c *cluster) recordRun(zr *zoneRunner, run oracle.Run) {
	zr.executions.Add(1)
	c.quota.record(run, c.clock.Now())
	c.countVersion(zr, run)
	if strings.HasPrefix(run.Attempt, checkAttemptPrefix) {
		return
	}
	c.checker.RecordRun(run)
	if c.options.plannedOnly() && !run.Rejected {
		c.executed.Store(run.Attempt, true)
	}
}

// listRunners returns what the platform lists.
func (c *cluster) listRunners() []localcluster.ListedRunner {
	var listed []localcluster.ListedRunner
	for _, zr := range c.allRunners() {
		incarnation := zr.Incarnation()
		listed = append(listed, localcluster.ListedRunner{
			ID: incarnation.ID, Service: incarnation.Service, Address: zr.Address(), Zone: string(zr.zone),
			Version: zr.version, Capacity: runnerSlots, Condition: "ready",
		})
	}
	return listed
}

// allRunners returns the runners that are up, those of a new version among them.
func (c *cluster) allRunners() []*zoneRunner {
	var running []*zoneRunner
	stopped := map[string]bool{}
	for _, record := range c.rollouts() {
		added, withOld := record.listed()
		running = append(running, added...)
		stopped[record.service] = !withOld
	}
	for _, zr := range c.runners {
		if !stopped[zr.service] {
			running = append(running, zr)
		}
	}
	return running
}

func (c *cluster) startMachines(ctx context.Context) error {
	for _, place := range c.layout.Machines() {
		m, err := newMachine(c, place)
		if err != nil {
			return err
		}
		c.machines = append(c.machines, m)
		if err := m.start(); err != nil {
			return err
		}
		c.background.Add(1)
		go func() {
			defer c.background.Done()
			m.supervise(ctx)
		}()
	}
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		c.sampleMemory(ctx)
	}()
	return nil
}

// sampleMemory samples the memory of all daemons until ctx ends.
func (c *cluster) sampleMemory(ctx context.Context) {
	for c.wait(ctx, memorySampleInterval) {
		for _, m := range c.machines {
			m.sampleMemory()
		}
	}
}

// machinesByRole returns the machines that run the daemon of the role.
func (c *cluster) machinesByRole(role string) []*machine {
	var machines []*machine
	for _, m := range c.machines {
		if m.Role() == role {
			machines = append(machines, m)
		}
	}
	return machines
}

// wait blocks for the duration, or until ctx ends; it reports whether the
// duration has passed.
func (c *cluster) wait(ctx context.Context, d time.Duration) bool { return clock.Wait(ctx, c.clock, d) }

// scope returns ctx as the scope that the emulator takes.
func (c *cluster) scope(ctx context.Context) scope.Scope {
	return scope.New(scope.Options{Clock: c.clock}).WithContext(ctx)
}

// Streams of random numbers; each is seeded with the run's seed.
const (
	streamRedundancy = 0
	streamBootstrap  = 1
	streamFaults     = 2
	// streamFault is the stream of one fault, seeded from streamFaults.
	streamFault = 3
	streamCheck = 4
	// streamRollout is that of the operator that orders a rollout; the next is the check's.
	streamRollout = 500
	// streamApplication is that of the first application.
	streamApplication = 1000
	// streamOperator is that of the first operator; the others have the next ones.
	streamOperator = 100
)

// random returns the stream of random numbers.
func (c *cluster) random(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(c.options.Seed, stream))
}

// close stops everything that was started. The context of newCluster must have
// ended.
func (c *cluster) close() {
	c.stopping.Store(true)
	var processes []*localcluster.Process
	for _, m := range c.machines {
		if process := m.prepareStop(); process != nil {
			processes = append(processes, process)
		}
	}
	localcluster.StopAll(processes, gracePeriod+time.Second)
	c.background.Wait()
	c.stopPlatform()
	for _, zr := range c.allRunners() {
		zr.Close()
	}
	for _, m := range c.machines {
		_ = m.log.Close()
	}
	c.recorder.close()
}
