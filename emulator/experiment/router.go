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
	// SetEndpoints tells it which runners there are.
	SetEndpoints func(list discovery.List)
	// Server serves the handler; nil has a plain one serve it. Door is what the
	// listener goes through first; nil is nothing.
	Server       *http.Server
	WrapListener func(listener net.Listener) net.Listener
	// Drain has its answers ask clients to go elsewhere; nil does nothing.
	Drain func()
	// Reload has it take its configuration anew; nil does nothing.
	Reload func()
}

// serve has the router serve at a listener.
func (r Router) serve(listener net.Listener, around func(http.Handler) http.Handler) *http.Server {
	server := r.Server
	if server == nil {
		server = httpcall.NewServer(r.Handler, 3*clock.Second, 15*clock.Second)
	}
	server.Handler = around(server.Handler)
	if r.WrapListener != nil {
		listener = r.WrapListener(listener)
	}
	go func() { _ = server.Serve(listener) }()
	return server
}

// RouterFactory makes a router that knows a configuration and works until the scope ends.
type RouterFactory func(top scope.Scope, document []byte, options Options) Router

// dataPlane is a router's data plane, put together as its program does.
type dataPlane struct {
	snapshots *snapshot.Store
	stats     *runnerstats.Collector
	slowStart *slowstart.Tracker
	mu        sync.Mutex
	runners   []discovery.Runner
}

// upstreamTimeout bounds what a router waits for connections and sent bytes.
const upstreamTimeout = clock.Second

// NewDataPlane makes the real router's data plane: only the news that feed it and the
// rate at which doubts end are the experiment's.
func NewDataPlane(top scope.Scope, document []byte, options Options) Router {
	made := &dataPlane{stats: runnerstats.New(), slowStart: slowstart.New(rand.Float64)}
	made.snapshots = snapshot.NewStore(snapshot.Options{Clock: top.Clock, Zones: map[ids.Zone]ids.Region{"zone": "region"}, Region: "region", OnRunners: made.updateSlowStart(top)})
	made.snapshots.Apply(gossip.Item{Key: config.Key, Version: 1, Body: document})
	one := func() int { return 1 }
	gate := balancer.New(balancer.Options{
		Scope: top, Snapshots: made.snapshots, Stats: made.stats, SlowStart: made.slowStart, Region: "region", RouterCount: one,
		SlowStartRouters: func(ids.Zone) int { return 1 }, Random: rand.Float64,
		RetryBudget: retrybudget.New(retrybudget.Options{Ratio: 4, Reserve: 1000, Window: 10 * clock.Second, Routers: one}),
	})
	dialing := httpcall.Dialer{Timeout: upstreamTimeout, UserTimeout: upstreamTimeout}
	sender := upstream.NewClient(upstream.Options{Clock: top.Clock, Dialer: dialing, IdleTimeout: 8 * upstreamTimeout, MaxIdlePerHost: 64})
	front := proxy.New(proxy.Options{
		Scope: top, Snapshots: made.snapshots, Balancer: gate, Stats: made.stats, SlowStart: made.slowStart, Upstream: sender,
	})
	client := httpcall.NewClient(httpcall.ClientOptions{Dialer: dialing, IdleTimeout: upstreamTimeout, MaxIdlePerHost: 1})
	go made.probeLoop(top, client)
	if options.ClearSuspicionInterval > 0 {
		go made.clearSuspicionLoop(top, options.ClearSuspicionInterval)
	}
	serial := ids.Version(1)
	reread := func() {
		serial++
		made.snapshots.Apply(gossip.Item{Key: config.Key, Version: serial, Body: document})
	}
	return Router{
		Handler: front, SetEndpoints: made.setEndpoints, Drain: func() { front.Drain(top.Now().Add(3 * clock.Second)) }, Reload: reread,
		Server:       proxy.NewServer(front),
		WrapListener: func(listener net.Listener) net.Listener { return proxy.NewListener(front, listener) },
	}
}

func (d *dataPlane) setEndpoints(list discovery.List) {
	d.mu.Lock()
	d.runners = list.Runners
	d.mu.Unlock()
	d.snapshots.ApplyRunners(list)
}

func (d *dataPlane) updateSlowStart(top scope.Scope) func(*snapshot.Snapshot) {
	return func(seen *snapshot.Snapshot) {
		var entries []slowstart.Runner
		for _, runners := range seen.Runners {
			for _, runner := range runners {
				entries = append(entries, slowstart.Runner{ID: runner.ID, Remaining: settings.Milliseconds(float64(runner.WarmupLeftMS))})
			}
		}
		d.slowStart.Update(entries, 0, top.Now())
	}
}

// clearSuspicionLoop ends every doubt at once.
func (d *dataPlane) clearSuspicionLoop(top scope.Scope, every clock.Span) {
	for top.Wait(every) {
		d.mu.Lock()
		runners := d.runners
		d.mu.Unlock()
		for _, runner := range runners {
			if d.stats.State(runner.ID).Suspect {
				d.stats.ClearSuspicion(runner.ID, top.Now())
			}
		}
	}
}

// healthRequest asks a runner how it is.
type healthRequest struct{}

// Encode makes the call.
func (healthRequest) Encode() httpcall.OutgoingRequest {
	return httpcall.OutgoingRequest{Method: http.MethodGet, Path: "/health"}
}

type healthResponse struct {
	id      ids.RunnerID
	healthy bool
	warmup  clock.Span
}

// Decode reads the answer.
func (h *healthResponse) Decode(heard httpcall.RawResponse) error {
	h.id, h.healthy = ids.RunnerID(heard.Header.Get(upstream.RunnerIDHeader)), heard.Status == http.StatusOK
	if left, err := strconv.ParseFloat(heard.Header.Get(upstream.WarmupHeader), 64); err == nil {
		h.warmup = settings.Milliseconds(left)
	}
	return nil
}

// probeLoop tests the runners that broke down.
func (d *dataPlane) probeLoop(top scope.Scope, client *http.Client) {
	for top.Wait(upstreamTimeout / 50) {
		for _, id := range d.stats.DueProbes(top.Now(), upstreamTimeout/50) {
			go d.probe(top, client, id)
		}
	}
}

func (d *dataPlane) probe(top scope.Scope, client *http.Client, id ids.RunnerID) {
	runner := d.snapshots.Current().Find(id)
	if runner == nil {
		d.stats.Unlist(id)
		return
	}
	short, release := top.WithTimeout(upstreamTimeout)
	defer release()
	told, err := httpcall.Do[healthResponse](short, client, runner.Address, healthRequest{})
	if err != nil || told.id != id || !told.healthy {
		return
	}
	now := top.Now()
	if told.warmup > 0 {
		d.slowStart.Extend(id, now.Add(told.warmup), now)
	}
	d.stats.ClearSuspicion(id, now)
}
