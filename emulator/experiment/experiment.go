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
	history oracle.Oracle
	runners []*runner.Runner
	// fronts are the addresses of the doors, which stay.
	fronts   []string
	doorLock sync.Mutex
	doors    []*door
	// stopped says that no door is opened any more.
	stopped bool
	// processes are the routers of their own that are not gone.
	processes sync.WaitGroup
	newest    discovery.List
	// restarted counts the routers that took another's place.
	restarted atomic.Int64
	// frozen counts freezes; none begins while all comes to rest.
	frozen atomic.Int64
	// hungup counts the SIGHUPs that routers have acted on.
	hungup  atomic.Int64
	resting sync.Mutex
	// arrived is when the last request came to a runner.
	arrived atomic.Int64
	busy    atomic.Int64
	report  *Report
	number  atomic.Int64
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
	known := &lister{made: made}
	if err := made.start(ctx, known); err != nil {
		made.stop(ctx)
		return nil, err
	}
	go made.announce(ctx, known)
	begin := top.Now()
	for made.report.Requests < options.Requests && top.Err() == nil && len(made.report.Verdicts) == 0 {
		made.round(top, ctx, min(options.Round, options.Requests-made.report.Requests))
		if options.Progress != nil && made.report.Requests < options.Requests {
			options.Progress(made.report.Requests)
		}
	}
	made.report.Spent = top.Now().Since(begin)
	made.stop(ctx)
	if len(made.report.Verdicts) == 0 {
		// Stragglers of the last round are there by now.
		made.report.judge(made.history.Judge())
	}
	made.report.Restarts, made.report.Freezes = int(made.restarted.Load()), int(made.frozen.Load())
	made.report.Hangups = int(made.hungup.Load())
	for _, played := range made.runners {
		for name, count := range played.Met() {
			made.report.Met[name] += count
		}
	}
	return made.report, nil
}

// start starts runners and routers.
func (e *experiment) start(ctx scope.Scope, known *lister) error {
	for index := range e.options.Runners {
		own := services[index%len(services)]
		settings := runner.Defaults(own, fmt.Sprintf("i-%d", index+1))
		settings.Services = []string{own, services[(index+1)%len(services)]}
		settings.Seed, settings.Mix = e.options.Seed, e.options.Mix
		settings.Capacity, settings.Queue = 64, 64
		settings.Work, settings.Gap = clock.Millisecond/2, clock.Millisecond/4
		played, err := runner.Start(runner.Options{Scope: ctx, Settings: settings, Address: "127.0.0.1:0", Tell: e.ran, Rest: e.history.Rest})
		if err != nil {
			return err
		}
		e.runners = append(e.runners, played)
	}
	list, _ := known.look(ctx.Now())
	e.newest = list
	for range e.options.Routers {
		opened, err := e.open(ctx, "", list)
		if err != nil {
			return err
		}
		e.doors, e.fronts = append(e.doors, opened), append(e.fronts, opened.address)
	}
	if e.options.Restart > 0 {
		go e.restarts(ctx)
	}
	if e.options.Freeze > 0 {
		go e.freezes(ctx)
	}
	if e.options.Hangup > 0 {
		go e.hangups(ctx)
	}
	return nil
}

// stop ends routers and runners and waits, for a while, until the runners have
// told of all that reached them.
func (e *experiment) stop(ctx scope.Scope) {
	e.doorLock.Lock()
	defer e.doorLock.Unlock()
	e.stopped = true
	for _, door := range e.doors {
		if door.process != nil {
			door.process.kill()
			<-door.process.gone
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
		for waited := clock.Span(0); played.Open() > 0 && waited < 10*clock.Second; waited += clock.Millisecond {
			ctx.Wait(clock.Millisecond)
		}
	}
}

// counted counts what a router still works on after its client has left.
func (e *experiment) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		e.busy.Add(1)
		defer e.busy.Add(-1)
		handler.ServeHTTP(writer, request)
	})
}

// ran tells the oracle of a run.
func (e *experiment) ran(run oracle.Run) {
	e.history.Ran(run)
	e.arrived.Store(int64(e.clock.Now()))
	e.report.ran(run)
}

// round has all clients send a part of the requests, waits until all is at rest
// and judges.
func (e *experiment) round(top scope.Scope, ctx scope.Scope, count int) {
	last := e.number.Load() + int64(count)
	var clients sync.WaitGroup
	var sent atomic.Int64
	for range e.options.Clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			played := &client.Client{
				Front:    func(router int) string { return e.fronts[router] },
				Patience: e.options.Patience, History: &e.history,
			}
			defer played.Close()
			for top.Err() == nil {
				number := e.number.Add(1)
				if number > last {
					return
				}
				sent.Add(1)
				e.one(ctx, played, int(number))
			}
		}()
	}
	clients.Wait()
	e.number.Store(last)
	e.report.Requests += int(sent.Load())
	e.resting.Lock()
	defer e.resting.Unlock()
	e.rest(ctx)
	e.report.judge(e.history.Judge())
	e.history.Forget()
}

func (e *experiment) one(ctx scope.Scope, played *client.Client, number int) {
	wish := e.draw().Request(number)
	begin := ctx.Now()
	got := played.Send(ctx, wish)
	e.history.Got(got)
	e.report.got(wish, got, ctx.Now().Since(begin))
}

// draw is what the clients' requests are drawn from.
func (e *experiment) draw() client.Draw {
	options := e.options
	return client.Draw{
		Seed: options.Seed, Routers: options.Routers, Services: services, Patience: options.Patience,
		Rude: options.Rude, RudeKinds: options.RudeKinds,
	}
}

// rest waits until no router works on a request any more, and a little longer
// for what may still be on its way to a runner.
func (e *experiment) rest(ctx scope.Scope) {
	for waited := clock.Span(0); e.busy.Load() > 0 && waited < 10*clock.Second; waited += clock.Millisecond {
		ctx.Wait(clock.Millisecond)
	}
	ctx.Wait(5 * clock.Millisecond)
	if len(e.options.Program) == 0 {
		return
	}
	// What a router of its own process works on isn't seen.
	for ctx.Now().Since(clock.Instant(e.arrived.Load())) < quiet && ctx.Wait(quiet/10) {
	}
}

// quiet is after what time without a request at a runner routers are at rest:
// longer than they let a request wait.
const quiet = clock.Second / 2
