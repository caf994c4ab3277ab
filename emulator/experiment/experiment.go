package experiment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
	"onyxwell/emulator/client"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/runner"
)

const (
	runnerCapacity      = 64
	runnerServiceTime   = time.Millisecond / 2
	runnerEventInterval = time.Millisecond / 4

	// maxSettleTime bounds how long requests in flight are waited for.
	maxSettleTime = 10 * time.Second
	// settleMargin is waited on top for what is on its way to a runner.
	settleMargin = 5 * time.Millisecond
	// quietPeriod is how long no request has to reach a runner until router processes
	// have none in flight. It is longer than they let a request wait.
	quietPeriod = time.Second / 2
)

// experiment is a running experiment.
type experiment struct {
	options Options
	clock   clock.Clock
	checker oracle.Checker
	report  *Report
	runners []*runner.Runner
	// addresses are those of the routers; a restart keeps them.
	addresses []string

	mu        sync.Mutex
	instances []instance // by index of addresses
	endpoints discovery.List
	stopped   bool // no instance is started any more

	// background are the loops and the shutdowns that they start, processes the
	// router processes that have not exited.
	background sync.WaitGroup
	processes  sync.WaitGroup
	// settling excludes freezes while a round is settling.
	settling sync.Mutex

	lastNumber   atomic.Int64 // of the requests
	lastArrival  atomic.Int64 // of a request at a runner, a clock.Instant
	inFlight     atomic.Int64 // requests in routers of this process
	restartCount atomic.Int64
	freezeCount  atomic.Int64
	hangupCount  atomic.Int64 // SIGHUPs that routers have acted on
}

// Run runs an experiment until all requests are done, a round has violated a rule,
// or the context ends. The report tells what was seen until then.
func Run(ctx context.Context, options Options) (*Report, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	if options.Clock == nil {
		options.Clock = clock.NewMonotonic()
	}
	e := &experiment{options: options, clock: options.Clock, report: newReport(options)}
	defer e.background.Wait()
	// The requests in flight are completed also where ctx ends.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := e.start(running); err != nil {
		e.stop(running)
		return nil, err
	}
	start := e.clock.Now()
	for e.report.Requests < options.Requests && ctx.Err() == nil && len(e.report.Violations) == 0 {
		e.runRound(ctx, running, min(options.RoundSize, options.Requests-e.report.Requests))
		if options.Progress != nil && e.report.Requests < options.Requests {
			options.Progress(e.report.Requests)
		}
	}
	e.report.Elapsed = e.clock.Now().Since(start)
	e.stop(running)
	if len(e.report.Violations) == 0 {
		// By now the stragglers of the last round are recorded.
		e.report.addViolations(e.checker.Check())
	}
	e.report.Restarts, e.report.Freezes = int(e.restartCount.Load()), int(e.freezeCount.Load())
	e.report.Hangups = int(e.hangupCount.Load())
	for _, r := range e.runners {
		for name, count := range r.FaultCounts() {
			e.report.FaultCounts[name] += count
		}
	}
	return e.report, nil
}

// start starts runners, routers and the loops that disturb them.
func (e *experiment) start(ctx context.Context) error {
	for i := range e.options.Runners {
		r, err := e.startRunner(ctx, i)
		if err != nil {
			return err
		}
		e.runners = append(e.runners, r)
	}
	tracker := &endpointTracker{runners: e.runners}
	e.endpoints, _ = tracker.refresh(e.clock.Now())
	for range e.options.Routers {
		started, err := e.startInstance(ctx, "127.0.0.1:0", e.endpoints)
		if err != nil {
			return err
		}
		e.instances, e.addresses = append(e.instances, started), append(e.addresses, started.Address())
	}
	e.background.Go(func() { e.announceLoop(ctx, tracker) })
	if e.options.RestartInterval > 0 {
		e.background.Go(func() { e.restartLoop(ctx) })
	}
	if e.options.FreezeInterval > 0 {
		e.background.Go(func() { e.freezeLoop(ctx) })
	}
	if e.options.HangupInterval > 0 {
		e.background.Go(func() { e.hangupLoop(ctx) })
	}
	return nil
}

func (e *experiment) startRunner(ctx context.Context, i int) (*runner.Runner, error) {
	service := services[i%len(services)]
	settings := runner.Defaults(service, fmt.Sprintf("i-%d", i+1))
	settings.Services = []string{service, services[(i+1)%len(services)]}
	settings.Seed, settings.Faults = e.options.Seed, e.options.Faults
	settings.Capacity, settings.Queue = runnerCapacity, runnerCapacity
	settings.ServiceTime, settings.EventInterval = runnerServiceTime, runnerEventInterval
	return runner.Start(runner.Options{
		Scope: newScope(ctx, e.clock), Settings: settings, Address: "127.0.0.1:0",
		OnRequest: e.recordRun, OnLateBody: e.checker.RecordLateBody,
	})
}

// newScope returns a scope for packages that still take one.
func newScope(ctx context.Context, clock clock.Clock) scope.Scope {
	return scope.New(scope.Options{Clock: clock}).WithContext(ctx)
}

// stop ends routers and runners, and waits a while until the runners have reported
// all requests.
func (e *experiment) stop(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	for _, i := range e.instances {
		i.Close()
	}
	// Those that were replaced may still be shutting down.
	e.processes.Wait()
	for _, r := range e.runners {
		r.Close()
	}
	for _, r := range e.runners {
		e.waitUntil(ctx, func() bool { return r.OpenConns() == 0 })
	}
}

// waitUntil waits for a condition, at most for maxSettleTime.
func (e *experiment) waitUntil(ctx context.Context, condition func() bool) {
	const interval = time.Millisecond
	for waited := time.Duration(0); !condition() && waited < maxSettleTime; waited += interval {
		clock.Wait(ctx, e.clock, interval)
	}
}

// countInFlight counts the requests in a router, also after their clients have
// gone.
func (e *experiment) countInFlight(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		handler.ServeHTTP(w, req)
	})
}

func (e *experiment) recordRun(run oracle.Run) {
	e.checker.RecordRun(run)
	e.lastArrival.Store(int64(e.clock.Now()))
	e.report.recordRun(run)
}

// runRound has the clients send the next requests until ctx ends, lets the routers
// settle and checks the rules. The requests themselves run under the running
// context.
func (e *experiment) runRound(ctx context.Context, running context.Context, count int) {
	last := e.lastNumber.Load() + int64(count)
	var clients sync.WaitGroup
	var sent atomic.Int64
	for range e.options.Clients {
		clients.Go(func() {
			sender := &client.Client{
				RouterAddress: func(router int) string { return e.addresses[router] },
				Grace:         e.options.ClientTimeout, Checker: &e.checker,
			}
			defer sender.Close()
			for ctx.Err() == nil {
				number := e.lastNumber.Add(1)
				if number > last {
					return
				}
				sent.Add(1)
				e.send(running, sender, int(number))
			}
		})
	}
	clients.Wait()
	e.lastNumber.Store(last)
	e.report.Requests += int(sent.Load())
	e.settling.Lock()
	defer e.settling.Unlock()
	e.settle(running)
	e.report.addViolations(e.checker.Check())
	e.checker.Forget()
}

func (e *experiment) send(ctx context.Context, sender *client.Client, number int) {
	req := e.generator().Request(number)
	start := e.clock.Now()
	resp := sender.Send(ctx, req)
	e.checker.RecordResponse(resp)
	e.report.recordResponse(req, resp, e.clock.Now().Since(start))
}

func (e *experiment) generator() client.Generator {
	return client.Generator{
		Seed: e.options.Seed, Routers: e.options.Routers, Services: services, Timeout: e.options.ClientTimeout,
		MalformedRate: e.options.MalformedRate, MalformedKinds: e.options.MalformedKinds,
	}
}

// settle waits until the routers have no request in flight any more, and what they
// sent has reached the runners.
func (e *experiment) settle(ctx context.Context) {
	e.waitUntil(ctx, func() bool { return e.inFlight.Load() == 0 })
	clock.Wait(ctx, e.clock, settleMargin)
	if len(e.options.RouterProgram) == 0 {
		return
	}
	// What is in flight in another process can't be seen.
	for e.clock.Now().Since(clock.Instant(e.lastArrival.Load())) < quietPeriod && clock.Wait(ctx, e.clock, quietPeriod/10) {
	}
}
