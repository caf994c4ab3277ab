package experiment

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/discovery"
	"onyxwell/emulator/client"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/runner"
)

// experiment is one that runs.
type experiment struct {
	options Options
	clock   clock.Clock
	checker oracle.Checker
	runners []*runner.Runner
	// addresses are the addresses of the doors, which stay.
	addresses   []string
	instancesMu sync.Mutex
	instances   []*instance
	// stopped says that no door is opened any more.
	stopped bool
	// processes are the routers of their own that are not gone.
	processes sync.WaitGroup
	endpoints discovery.List
	// restartCount counts the routers that took another's place.
	restartCount atomic.Int64
	// freezeCount counts freezes; none begins while all comes to rest.
	freezeCount atomic.Int64
	// hangupCount counts the SIGHUPs that routers have acted on.
	hangupCount atomic.Int64
	settling    sync.Mutex
	// lastArrival is when the last request came to a runner.
	lastArrival atomic.Int64
	inFlight    atomic.Int64
	report      *Report
	lastNumber  atomic.Int64
}

// Run plays an experiment until all requests are through or the scope ends; the
// report tells what was seen either way.
func Run(top scope.Scope, options Options) (*Report, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	made := &experiment{options: options, clock: top.Clock, report: newReport(options)}
	// What was begun is finished also when the scope ends.
	ctx, end := top.WithoutCancel().WithCancel()
	defer end()
	known := &endpointTracker{experiment: made}
	if err := made.start(ctx, known); err != nil {
		made.stop(ctx)
		return nil, err
	}
	go made.announceLoop(ctx, known)
	begin := top.Now()
	for made.report.Requests < options.Requests && top.Err() == nil && len(made.report.Violations) == 0 {
		made.runRound(top, ctx, min(options.RoundSize, options.Requests-made.report.Requests))
		if options.Progress != nil && made.report.Requests < options.Requests {
			options.Progress(made.report.Requests)
		}
	}
	made.report.Elapsed = top.Now().Since(begin)
	made.stop(ctx)
	if len(made.report.Violations) == 0 {
		// Stragglers of the last round are there by now.
		made.report.addViolations(made.checker.Check())
	}
	made.report.Restarts, made.report.Freezes = int(made.restartCount.Load()), int(made.freezeCount.Load())
	made.report.Hangups = int(made.hangupCount.Load())
	for _, played := range made.runners {
		for name, count := range played.FaultCounts() {
			made.report.FaultCounts[name] += count
		}
	}
	return made.report, nil
}

// start starts runners and routers.
func (e *experiment) start(ctx scope.Scope, known *endpointTracker) error {
	for index := range e.options.Runners {
		own := services[index%len(services)]
		settings := runner.Defaults(own, fmt.Sprintf("i-%d", index+1))
		settings.Services = []string{own, services[(index+1)%len(services)]}
		settings.Seed, settings.Faults = e.options.Seed, e.options.Faults
		settings.Capacity, settings.Queue = 64, 64
		settings.ServiceTime, settings.EventInterval = clock.Millisecond/2, clock.Millisecond/4
		played, err := runner.Start(runner.Options{Scope: ctx, Settings: settings, Address: "127.0.0.1:0", OnRequest: e.recordRun, OnLateBody: e.checker.RecordLateBody})
		if err != nil {
			return err
		}
		e.runners = append(e.runners, played)
	}
	list, _ := known.refresh(ctx.Now())
	e.endpoints = list
	for range e.options.Routers {
		opened, err := e.startInstance(ctx, "", list)
		if err != nil {
			return err
		}
		e.instances, e.addresses = append(e.instances, opened), append(e.addresses, opened.address)
	}
	if e.options.RestartInterval > 0 {
		go e.restartLoop(ctx)
	}
	if e.options.FreezeInterval > 0 {
		go e.freezeLoop(ctx)
	}
	if e.options.HangupInterval > 0 {
		go e.hangupLoop(ctx)
	}
	return nil
}

// stop ends routers and runners and waits, for a while, until the runners have
// told of all that reached them.
func (e *experiment) stop(ctx scope.Scope) {
	e.instancesMu.Lock()
	defer e.instancesMu.Unlock()
	e.stopped = true
	for _, door := range e.instances {
		if door.process != nil {
			door.process.kill()
			<-door.process.exited
		} else {
			_ = door.server.Close()
		}
	}
	// Those that a restart had leave may take a little longer.
	e.processes.Wait()
	for _, played := range e.runners {
		played.Close()
	}
	for _, played := range e.runners {
		for waited := clock.Span(0); played.OpenConns() > 0 && waited < 10*clock.Second; waited += clock.Millisecond {
			ctx.Wait(clock.Millisecond)
		}
	}
}

// countInFlight counts what a router still works on after its client has left.
func (e *experiment) countInFlight(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		handler.ServeHTTP(writer, request)
	})
}

// recordRun tells the oracle of a run.
func (e *experiment) recordRun(run oracle.Run) {
	e.checker.RecordRun(run)
	e.lastArrival.Store(int64(e.clock.Now()))
	e.report.recordRun(run)
}

// runRound has all clients send a part of the requests, waits until all is at rest
// and judges.
func (e *experiment) runRound(top scope.Scope, ctx scope.Scope, count int) {
	last := e.lastNumber.Load() + int64(count)
	var clients sync.WaitGroup
	var sent atomic.Int64
	for range e.options.Clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			played := &client.Client{
				RouterAddress: func(router int) string { return e.addresses[router] },
				Grace:         e.options.ClientTimeout, Checker: &e.checker,
			}
			defer played.Close()
			for top.Err() == nil {
				number := e.lastNumber.Add(1)
				if number > last {
					return
				}
				sent.Add(1)
				e.send(ctx, played, int(number))
			}
		}()
	}
	clients.Wait()
	e.lastNumber.Store(last)
	e.report.Requests += int(sent.Load())
	e.settling.Lock()
	defer e.settling.Unlock()
	e.settle(ctx)
	e.report.addViolations(e.checker.Check())
	e.checker.Forget()
}

func (e *experiment) send(ctx scope.Scope, played *client.Client, number int) {
	wish := e.generator().Request(number)
	begin := ctx.Now()
	got := played.Send(ctx, wish)
	e.checker.RecordResponse(got)
	e.report.recordResponse(wish, got, ctx.Now().Since(begin))
}

// generator is what the clients' requests are drawn from.
func (e *experiment) generator() client.Generator {
	options := e.options
	return client.Generator{
		Seed: options.Seed, Routers: options.Routers, Services: services, Timeout: options.ClientTimeout,
		MalformedRate: options.MalformedRate, MalformedKinds: options.MalformedKinds,
	}
}

// settle waits until no router works on a request any more, and a little longer
// for what may still be on its way to a runner.
func (e *experiment) settle(ctx scope.Scope) {
	for waited := clock.Span(0); e.inFlight.Load() > 0 && waited < 10*clock.Second; waited += clock.Millisecond {
		ctx.Wait(clock.Millisecond)
	}
	ctx.Wait(5 * clock.Millisecond)
	if len(e.options.RouterProgram) == 0 {
		return
	}
	// What a router of its own process works on isn't seen.
	for ctx.Now().Since(clock.Instant(e.lastArrival.Load())) < quietPeriod && ctx.Wait(quietPeriod/10) {
	}
}

// quietPeriod is after what time without a request at a runner routers are at rest:
// longer than they let a request wait.
const quietPeriod = clock.Second / 2
