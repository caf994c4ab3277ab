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
	inner, end := top.Detached().WithEnd()
	defer end()
	known := &lister{made: made}
	if err := made.start(inner, known); err != nil {
		made.stop(inner)
		return nil, err
	}
	go made.announce(inner, known)
	begin := top.Now()
	for made.report.Requests < options.Requests && top.Err() == nil && len(made.report.Verdicts) == 0 {
		made.round(top, inner, min(options.Round, options.Requests-made.report.Requests))
		if options.Progress != nil && made.report.Requests < options.Requests {
			options.Progress(made.report.Requests)
		}
	}
	made.report.Spent = top.Now().Since(begin)
	made.stop(inner)
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
func (made *experiment) start(inner scope.Scope, known *lister) error {
	for index := range made.options.Runners {
		own := services[index%len(services)]
		settings := runner.Defaults(own, fmt.Sprintf("i-%d", index+1))
		settings.Services = []string{own, services[(index+1)%len(services)]}
		settings.Seed, settings.Mix = made.options.Seed, made.options.Mix
		settings.Capacity, settings.Queue = 64, 64
		settings.Work, settings.Gap = clock.Millisecond/2, clock.Millisecond/4
		played, err := runner.Start(runner.Options{Scope: inner, Settings: settings, Address: "127.0.0.1:0", Tell: made.ran, Rest: made.history.Rest})
		if err != nil {
			return err
		}
		made.runners = append(made.runners, played)
	}
	list, _ := known.look(inner.Now())
	made.newest = list
	for range made.options.Routers {
		opened, err := made.open(inner, "", list)
		if err != nil {
			return err
		}
		made.doors, made.fronts = append(made.doors, opened), append(made.fronts, opened.address)
	}
	if made.options.Restart > 0 {
		go made.restarts(inner)
	}
	if made.options.Freeze > 0 {
		go made.freezes(inner)
	}
	if made.options.Hangup > 0 {
		go made.hangups(inner)
	}
	return nil
}

// stop ends routers and runners and waits, for a while, until the runners have
// told of all that reached them.
func (made *experiment) stop(inner scope.Scope) {
	made.doorLock.Lock()
	defer made.doorLock.Unlock()
	made.stopped = true
	for _, door := range made.doors {
		if door.process != nil {
			door.process.kill()
			<-door.process.gone
		} else {
			_ = door.server.Close()
		}
	}
	// Those that a restart had leave may take a little longer.
	made.processes.Wait()
	for _, played := range made.runners {
		played.Close()
	}
	for _, played := range made.runners {
		for waited := clock.Span(0); played.Open() > 0 && waited < 10*clock.Second; waited += clock.Millisecond {
			inner.Wait(clock.Millisecond)
		}
	}
}

// counted counts what a router still works on after its client has left.
func (made *experiment) counted(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		made.busy.Add(1)
		defer made.busy.Add(-1)
		handler.ServeHTTP(writer, request)
	})
}

// ran tells the oracle of a run.
func (made *experiment) ran(run oracle.Run) {
	made.history.Ran(run)
	made.arrived.Store(int64(made.clock.Now()))
	made.report.ran(run)
}

// round has all clients send a part of the requests, waits until all is at rest
// and judges.
func (made *experiment) round(top scope.Scope, inner scope.Scope, count int) {
	last := made.number.Load() + int64(count)
	var clients sync.WaitGroup
	var sent atomic.Int64
	for range made.options.Clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			played := &client.Client{
				Front:    func(router int) string { return made.fronts[router] },
				Patience: made.options.Patience, History: &made.history,
			}
			defer played.Close()
			for top.Err() == nil {
				number := made.number.Add(1)
				if number > last {
					return
				}
				sent.Add(1)
				made.one(inner, played, int(number))
			}
		}()
	}
	clients.Wait()
	made.number.Store(last)
	made.report.Requests += int(sent.Load())
	made.resting.Lock()
	defer made.resting.Unlock()
	made.rest(inner)
	made.report.judge(made.history.Judge())
	made.history.Forget()
}

func (made *experiment) one(inner scope.Scope, played *client.Client, number int) {
	wish := made.draw().Request(number)
	begin := inner.Now()
	got := played.Send(inner, wish)
	made.history.Got(got)
	made.report.got(wish, got, inner.Now().Since(begin))
}

// draw is what the clients' requests are drawn from.
func (made *experiment) draw() client.Draw {
	options := made.options
	return client.Draw{
		Seed: options.Seed, Routers: options.Routers, Services: services, Patience: options.Patience,
		Rude: options.Rude, RudeKinds: options.RudeKinds,
	}
}

// rest waits until no router works on a request any more, and a little longer
// for what may still be on its way to a runner.
func (made *experiment) rest(inner scope.Scope) {
	for waited := clock.Span(0); made.busy.Load() > 0 && waited < 10*clock.Second; waited += clock.Millisecond {
		inner.Wait(clock.Millisecond)
	}
	inner.Wait(5 * clock.Millisecond)
	if len(made.options.Program) == 0 {
		return
	}
	// What a router of its own process works on isn't seen.
	for inner.Now().Since(clock.Instant(made.arrived.Load())) < quiet && inner.Wait(quiet/10) {
	}
}

// quiet is after what time without a request at a runner routers are at rest:
// longer than they let a request wait.
const quiet = clock.Second / 2
