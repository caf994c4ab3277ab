package experiment

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/config"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/data/balancer"
	"onyxwell/data/proxy"
	"onyxwell/data/retrybudget"
	"onyxwell/data/runnerstats"
	"onyxwell/data/slowstart"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// Router is what an experiment puts in front of the runners.
type Router struct {
	Handler http.Handler
	// List tells it which runners there are.
	List func(list discovery.List)
	// Server serves the handler; nil has a plain one serve it. Door is what the
	// listener goes through first; nil is nothing.
	Server *http.Server
	Door   func(listener net.Listener) net.Listener
	// Leave has its answers ask clients to go elsewhere; nil does nothing.
	Leave func()
	// Reread has it take its configuration anew; nil does nothing.
	Reread func()
}

// serve has the router serve at a listener.
func (r Router) serve(listener net.Listener, around func(http.Handler) http.Handler) *http.Server {
	server := r.Server
	if server == nil {
		server = httpcall.NewServer(r.Handler, 3*clock.Second, 15*clock.Second)
	}
	server.Handler = around(server.Handler)
	if r.Door != nil {
		listener = r.Door(listener)
	}
	go func() { _ = server.Serve(listener) }()
	return server
}

// Build makes a router that knows a configuration and works until the scope ends.
type Build func(top scope.Scope, document []byte, options Options) Router

// real is a router's data plane, put together as its program does.
type real struct {
	frame  *snapshot.Store
	board  *runnerstats.Collector
	warmth *slowstart.Tracker
	mu     sync.Mutex
	runner []discovery.Runner
}

// routerSilence bounds what a router waits for connections and sent bytes.
const routerSilence = clock.Second

// Real makes the real router's data plane: only the news that feed it and the
// rate at which doubts end are the experiment's.
func Real(top scope.Scope, document []byte, options Options) Router {
	made := &real{board: runnerstats.New(), warmth: slowstart.New(rand.Float64)}
	made.frame = snapshot.NewStore(snapshot.Options{Clock: top.Clock, Zones: map[ids.Zone]ids.Region{"zone": "region"}, Region: "region", OnRunners: made.listed(top)})
	made.frame.Apply(gossip.Item{Key: config.Key, Version: 1, Body: document})
	one := func() int { return 1 }
	gate := balancer.New(balancer.Options{
		Scope: top, Snapshots: made.frame, Stats: made.board, SlowStart: made.warmth, Region: "region", RouterCount: one,
		SlowStartRouters: func(ids.Zone) int { return 1 }, Random: rand.Float64,
		RetryBudget: retrybudget.New(retrybudget.Options{Ratio: 4, Reserve: 1000, Window: 10 * clock.Second, Routers: one}),
	})
	dialing := httpcall.Dialer{Timeout: routerSilence, UserTimeout: routerSilence}
	sender := upstream.NewClient(upstream.Options{Clock: top.Clock, Dialer: dialing, IdleTimeout: 8 * routerSilence, MaxIdlePerHost: 64})
	front := proxy.New(proxy.Options{
		Scope: top, Snapshots: made.frame, Balancer: gate, Stats: made.board, SlowStart: made.warmth, Upstream: sender,
	})
	client := httpcall.NewClient(httpcall.ClientOptions{Dialer: dialing, IdleTimeout: routerSilence, MaxIdlePerHost: 1})
	go made.doubts(top, client)
	if options.Forgive > 0 {
		go made.forgive(top, options.Forgive)
	}
	serial := ids.Version(1)
	reread := func() {
		serial++
		made.frame.Apply(gossip.Item{Key: config.Key, Version: serial, Body: document})
	}
	return Router{
		Handler: front, List: made.list, Leave: func() { front.Drain(top.Now().Add(3 * clock.Second)) }, Reread: reread,
		Server: proxy.NewServer(front),
		Door:   func(listener net.Listener) net.Listener { return proxy.NewListener(front, listener) },
	}
}

func (r *real) list(list discovery.List) {
	r.mu.Lock()
	r.runner = list.Runners
	r.mu.Unlock()
	r.frame.ApplyRunners(list)
}

func (r *real) listed(top scope.Scope) func(*snapshot.Snapshot) {
	return func(seen *snapshot.Snapshot) {
		var entries []slowstart.Runner
		for _, runners := range seen.Runners {
			for _, runner := range runners {
				entries = append(entries, slowstart.Runner{ID: runner.ID, Remaining: settings.Milliseconds(float64(runner.WarmupLeftMS))})
			}
		}
		r.warmth.Update(entries, 0, top.Now())
	}
}

// forgive ends every doubt at once.
func (r *real) forgive(top scope.Scope, every clock.Span) {
	for top.Wait(every) {
		r.mu.Lock()
		runners := r.runner
		r.mu.Unlock()
		for _, runner := range runners {
			if r.board.State(runner.ID).Suspect {
				r.board.ClearSuspicion(runner.ID, top.Now())
			}
		}
	}
}

// health asks a runner how it is.
type health struct{}

// Encode makes the call.
func (health) Encode() httpcall.OutgoingRequest {
	return httpcall.OutgoingRequest{Method: http.MethodGet, Path: "/health"}
}

type condition struct {
	id   ids.RunnerID
	well bool
	cold clock.Span
}

// Decode reads the answer.
func (c *condition) Decode(heard httpcall.RawResponse) error {
	c.id, c.well = ids.RunnerID(heard.Header.Get(upstream.RunnerIDHeader)), heard.Status == http.StatusOK
	if left, err := strconv.ParseFloat(heard.Header.Get(upstream.WarmupHeader), 64); err == nil {
		c.cold = settings.Milliseconds(left)
	}
	return nil
}

// doubts tests the runners that broke down.
func (r *real) doubts(top scope.Scope, client *http.Client) {
	for top.Wait(routerSilence / 50) {
		for _, id := range r.board.DueProbes(top.Now(), routerSilence/50) {
			go r.test(top, client, id)
		}
	}
}

func (r *real) test(top scope.Scope, client *http.Client, id ids.RunnerID) {
	runner := r.frame.Current().Find(id)
	if runner == nil {
		r.board.Unlist(id)
		return
	}
	short, release := top.WithTimeout(routerSilence)
	defer release()
	told, err := httpcall.Do[condition](short, client, runner.Address, health{})
	if err != nil || told.id != id || !told.well {
		return
	}
	now := top.Now()
	if told.cold > 0 {
		r.warmth.Extend(id, now.Add(told.cold), now)
	}
	r.board.ClearSuspicion(id, now)
}
