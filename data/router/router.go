// Package router is the data plane's daemon: it carries clients' requests to
// model runners, on every edge machine, and keeps no durable state.
package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/invariant"
	"onyxwell/base/response"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/daemon"
	"onyxwell/control/state/readindex"
	"onyxwell/data/balancer"
	"onyxwell/data/proxy"
	"onyxwell/data/retrybudget"
	"onyxwell/data/runnerstats"
	"onyxwell/data/slowstart"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// Role is the routers' name in the deploy file and among members.
const Role = "router"

// Options are what a router stands on.
type Options struct {
	// Network is the machine's own where none is given.
	Network daemon.Network
}

// Router is the daemon put together.
type Router struct {
	daemon    *daemon.Daemon
	timing    daemon.Timing
	snapshots *snapshot.Store
	stats     *runnerstats.Collector
	slowStart *slowstart.Tracker
	lostZones lostZoneTracker
	readIndex *readindex.Gate
	proxy     *proxy.Proxy
	mu        sync.Mutex
	// endpoint is what clients come through, once there is one; leaving says that
	// the router leaves.
	endpoint *clientEndpoint
	draining bool
}

// Run runs the router until the scope ends, then leaves in order.
func (r *Router) Run(top scope.Scope, reread <-chan *settings.Settings) error {
	running, end := context.WithCancel(context.Background())
	defer end()
	ended := make(chan error, 1)
	go func() { ended <- r.daemon.Run(running) }()
	for {
		select {
		case fresh := <-reread:
			r.daemon.Reload(fresh)
		case err := <-ended:
			return err
		case <-top.Done():
			r.drain(top.WithoutCancel())
			return nil
		}
	}
}

// New puts a router together.
func New(top scope.Scope, options Options) (*Router, error) {
	monitor := &invariant.Monitor{Log: top.Log}
	r := &Router{timing: daemon.TimingOf(top.Settings), stats: runnerstats.New(), slowStart: slowstart.New(randomFloat)}
	view := daemon.NewView(top)
	r.snapshots = snapshot.NewStore(snapshot.Options{
		Clock: top.Clock, Zones: top.Settings.Zones, Region: top.Settings.Region, View: view, OnRunners: r.updateSlowStart(top), Monitor: monitor,
	})
	var err error
	r.daemon, err = daemon.New(top, daemon.Options{Role: Role, OnUpdate: r.snapshots.Apply, View: view, Network: options.Network, Monitor: monitor})
	if err != nil {
		return nil, err
	}
	tries := retrybudget.New(r.retryBudgetOptions(top))
	gate := balancer.New(balancer.Options{
		Scope: top, Snapshots: r.snapshots, Stats: r.stats, RetryBudget: tries, SlowStart: r.slowStart,
		Region: top.Settings.Region, SlowStartSharers: r.daemon.Zones.Sharers, RouterCount: r.routerCount, ZoneLost: r.lostZones.contains, Random: randomFloat,
	})
	sender := upstream.NewClient(upstream.Options{
		Clock: top.Clock, Dialing: httpcall.Dialer{Timeout: r.timing.ConnectTimeout, UserTimeout: r.timing.PeerTimeout},
		IdleTimeout: 8 * r.timing.PeerTimeout, MaxIdlePerHost: top.Settings.Limits.OpenFiles / 64,
	})
	r.proxy = proxy.New(proxy.Options{
		Scope: top, Snapshots: r.snapshots, Balancer: gate, Stats: r.stats, SlowStart: r.slowStart, Upstream: sender,
		Metrics: r.daemon.Metrics, Monitor: r.daemon.Monitor,
	})
	r.readIndex = r.daemon.NewReadIndexGate(r.snapshots.Ready(), r.configVersion)
	r.daemon.Metrics.GaugeFunc("config_version", "Version of the configuration that this router acts on.", nil, func() float64 { return float64(r.configVersion()) })
	r.daemon.Metrics.GaugeFunc("requests_running", "Requests of clients that are being answered.", nil, func() float64 { return float64(r.proxy.InFlight()) })
	r.addServices(top)
	return r, nil
}

// retryBudgetOptions is what this router may spend on further tries. A process before this
// one may have spent its part of the extra just now, unless all starts for the
// first time.
func (r *Router) retryBudgetOptions(top scope.Scope) retrybudget.Options {
	bounds := top.Settings.Bounds
	options := retrybudget.Options{
		Ratio: bounds.RetryRatio, Reserve: bounds.RetryExtra, Window: settings.Seconds(bounds.RetryWindowS), Routers: r.routerCount,
	}
	if !top.Settings.FirstStart {
		options.ReserveFrom = top.Now().Add(options.Window)
	}
	return options
}

// routerCount is how many routers there could be.
func (r *Router) routerCount() int { return r.daemon.Zones.RouterCount() }

// updateSlowStart keeps the warmth of runners up with each new list.
func (r *Router) updateSlowStart(top scope.Scope) func(*snapshot.Snapshot) {
	lag := settings.Milliseconds(top.Settings.Platform.MaxLagMS)
	return func(seen *snapshot.Snapshot) {
		var entries []slowstart.Runner
		for name, runners := range seen.Runners {
			warmup := clock.Span(0)
			if seen.Config != nil && seen.Config.Service(name) != nil {
				warmup = settings.Seconds(seen.Config.Service(name).WarmupSeconds)
			}
			for _, runner := range runners {
				entries = append(entries, slowstart.Runner{
					ID: runner.ID, Remaining: settings.Milliseconds(float64(runner.WarmupLeftMS)), Warmup: warmup,
				})
			}
		}
		r.slowStart.Update(entries, lag, top.Now())
	}
}

func (r *Router) addServices(top scope.Scope) {
	common := r.daemon
	common.AddService("readiness", func(ctx scope.Scope) error {
		return common.ServeHTTP(ctx, top.Settings.Listen["readiness"], http.HandlerFunc(r.handleReadiness))
	})
	common.AddOneShot("readindex", r.readIndex.Run)
	common.AddService("front", r.serveClients)
	common.AddService("report", r.sendReports)
	common.AddService("doubts", r.probeSuspects)
}

func (r *Router) handleReadiness(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/ready" {
		response.FromKind(errkind.UnknownCall, request.URL.Path).Send(writer)
		return
	}
	if !r.daemon.Membership.Self().Ready {
		response.FromKind(errkind.NotReady, "the version is "+r.readIndex.State()).Send(writer)
		return
	}
	if state := r.readIndex.State(); state != readindex.Confirmed {
		response.Raw(http.StatusOK, "text/plain", []byte(state+"\n")).Send(writer)
		return
	}
	response.Empty(http.StatusOK).Send(writer)
}

// serveClients takes visitors in once a spec and the runners are known, and the
// spec is confirmed as the newest. The door
// opens a little earlier: those who come while these are on their way wait in
// the listener's queue rather than being turned off.
func (r *Router) serveClients(ctx scope.Scope) error {
	address := string(ctx.Settings.Listen["front"])
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	select {
	case <-ctx.Done():
		return nil
	case <-r.readIndex.Ready():
	case <-ctx.Clock.After(r.timing.ConnectTimeout):
		_ = listener.Close()
		select {
		case <-ctx.Done():
			return nil
		case <-r.readIndex.Ready():
		}
		if listener, err = net.Listen("tcp", address); err != nil {
			return err
		}
	}
	server := proxy.NewServer(r.proxy)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	door := proxy.NewListener(r.proxy, listener)
	r.becomeReady(&clientEndpoint{listener: door, server: server})
	r.daemon.GossipNow(ctx)
	if err := server.Serve(door); !errors.Is(err, http.ErrServerClosed) && !r.isDraining() {
		return err
	}
	<-ctx.Done()
	return nil
}
