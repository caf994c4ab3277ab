package experiment

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

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
	"onyxwell/data/ratelimit"
	"onyxwell/data/retrybudget"
	"onyxwell/data/runnerstats"
	"onyxwell/data/slowstart"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

const (
	// upstreamTimeout bounds dials, unacknowledged bytes and health checks.
	upstreamTimeout = time.Second
	// probeInterval is how often due probes are looked for, and the shortest time
	// between two probes of a runner.
	probeInterval = upstreamTimeout / 50
	// drainTimeout is how long a draining router has.
	drainTimeout = 3 * time.Second
)

// dataPlane is the data plane of the router program, fed by the experiment instead
// of a daemon. Its retry budget is far above what an experiment needs.
type dataPlane struct {
	clock     clock.Clock
	snapshots *snapshot.Store
	stats     *runnerstats.Collector
	slowStart *slowstart.Tracker
	client    *http.Client // of health checks

	mu      sync.Mutex
	runners []discovery.Runner
}

// NewDataPlane returns a router with the real data plane. It is a RouterFactory.
// Its goroutines end with the context.
func NewDataPlane(ctx context.Context, document []byte, options Options) Router {
	dialer := httpcall.Dialer{Timeout: upstreamTimeout, UserTimeout: upstreamTimeout}
	d := &dataPlane{
		clock: options.Clock, stats: runnerstats.New(), slowStart: slowstart.New(rand.Float64),
		client: httpcall.NewClient(httpcall.ClientOptions{Dialer: dialer, IdleTimeout: upstreamTimeout, MaxIdlePerHost: 1}),
	}
	d.snapshots = snapshot.NewStore(snapshot.Options{
		Clock: d.clock, Zones: map[ids.Zone]ids.Region{zone: region}, Region: region, OnRunners: d.updateSlowStart,
	})
	version := ids.Version(0)
	reload := func() {
		version++
		d.snapshots.Apply(gossip.Item{Key: config.Key, Version: version, Body: document})
	}
	reload()
	front := d.newProxy(dialer)
	go d.probeLoop(ctx)
	if options.ClearSuspicionInterval > 0 {
		go d.clearSuspicionLoop(ctx, options.ClearSuspicionInterval)
	}
	return Router{
		Handler: front, SetEndpoints: d.setEndpoints, Reload: reload,
		Drain:        func() { front.Drain(d.clock.Now().Add(drainTimeout)) },
		Server:       proxy.NewServer(front),
		WrapListener: func(listener net.Listener) net.Listener { return proxy.NewListener(front, listener) },
	}
}

func (d *dataPlane) newProxy(dialer httpcall.Dialer) *proxy.Proxy {
	one := func() int { return 1 }
	return proxy.New(proxy.Options{
		Clock: d.clock, Log: scope.NewLogger("error", io.Discard), Snapshots: d.snapshots, Stats: d.stats, SlowStart: d.slowStart,
		Balancer: balancer.New(balancer.Options{
			Clock: d.clock, Snapshots: d.snapshots, Stats: d.stats, SlowStart: d.slowStart, Region: region, RouterCount: one,
			SlowStartRouters: func(ids.Zone) int { return 1 }, Random: rand.Float64,
			RetryBudget: retrybudget.New(retrybudget.Options{Ratio: 4, Reserve: 1000, Window: 10 * time.Second, Routers: one}),
		}),
		Upstream: upstream.NewClient(upstream.Options{Clock: d.clock, Dialer: dialer, IdleTimeout: 8 * upstreamTimeout, MaxIdlePerHost: 64}),
		Limiter:  ratelimit.NewDetached(d.clock, func() *config.Config { return d.snapshots.Current().Config }, rand.Float64),
	})
}

func (d *dataPlane) setEndpoints(list discovery.List) {
	d.mu.Lock()
	d.runners = list.Runners
	d.mu.Unlock()
	d.snapshots.ApplyRunners(list)
}

func (d *dataPlane) updateSlowStart(_ *snapshot.Snapshot, next *snapshot.Snapshot) {
	var entries []slowstart.Runner
	for _, runners := range next.Runners {
		for _, runner := range runners {
			entries = append(entries, slowstart.Runner{ID: runner.ID, Remaining: settings.Milliseconds(float64(runner.WarmupLeftMS))})
		}
	}
	d.slowStart.Update(entries, 0, d.clock.Now())
}

// clearSuspicionLoop clears all suspected runners without a probe.
func (d *dataPlane) clearSuspicionLoop(ctx context.Context, interval time.Duration) {
	for clock.Wait(ctx, d.clock, interval) {
		d.mu.Lock()
		runners := d.runners
		d.mu.Unlock()
		for _, runner := range runners {
			if d.stats.State(runner.ID).Suspect {
				d.stats.ClearSuspicion(runner.ID, d.clock.Now())
			}
		}
	}
}

// healthRequest is a health check of a runner.
type healthRequest struct{}

// Encode returns the request.
func (healthRequest) Encode() httpcall.OutgoingRequest {
	return httpcall.OutgoingRequest{Method: http.MethodGet, Path: healthPath}
}

// healthResponse is a runner's response to a health check.
type healthResponse struct {
	id         ids.RunnerID
	healthy    bool
	warmupLeft time.Duration
}

// Decode reads the response.
func (h *healthResponse) Decode(resp httpcall.RawResponse) error {
	h.id, h.healthy = ids.RunnerID(resp.Header.Get(upstream.RunnerIDHeader)), resp.Status == http.StatusOK
	if ms, err := strconv.ParseFloat(resp.Header.Get(upstream.WarmupHeader), 64); err == nil {
		h.warmupLeft = settings.Milliseconds(ms)
	}
	return nil
}

// probeLoop probes suspected runners.
func (d *dataPlane) probeLoop(ctx context.Context) {
	for clock.Wait(ctx, d.clock, probeInterval) {
		for _, id := range d.stats.DueProbes(d.clock.Now(), probeInterval) {
			go d.probe(ctx, id)
		}
	}
}

// probe checks a suspected runner, and clears it where it is healthy.
func (d *dataPlane) probe(ctx context.Context, id ids.RunnerID) {
	runner := d.snapshots.Current().Find(id)
	if runner == nil {
		d.stats.StopProbing(id)
		return
	}
	ctx, cancel := d.clock.WithTimeout(ctx, upstreamTimeout)
	defer cancel()
	resp, err := httpcall.Do[healthResponse](ctx, d.client, runner.Address, healthRequest{})
	if err != nil || resp.id != id || !resp.healthy {
		return
	}
	now := d.clock.Now()
	if resp.warmupLeft > 0 {
		d.slowStart.Extend(id, now.Add(resp.warmupLeft), now)
	}
	d.stats.ClearSuspicion(id, now)
}
