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
	common *daemon.Daemon
	pace   daemon.Timing
	frame  *snapshot.Frame
	board  *runnerstats.Collector
	warmth *slowstart.Tracker
	lost   lostZones
	gate   *readindex.Gate
	front  *proxy.Front
	mu     sync.Mutex
	// entrance is what clients come through, once there is one; leaving says that
	// the router leaves.
	entrance *entrance
	leaving  bool
}

// Run runs the router until the scope ends, then leaves in order.
func (r *Router) Run(top scope.Scope, reread <-chan *settings.Settings) error {
	running, end := context.WithCancel(context.Background())
	defer end()
	ended := make(chan error, 1)
	go func() { ended <- r.common.Run(running) }()
	for {
		select {
		case fresh := <-reread:
			r.common.Reload(fresh)
		case err := <-ended:
			return err
		case <-top.Done():
			r.leave(top.WithoutCancel())
			return nil
		}
	}
}

// New puts a router together.
func New(top scope.Scope, options Options) (*Router, error) {
	monitor := &invariant.Monitor{Log: top.Log}
	r := &Router{pace: daemon.TimingOf(top.Settings), board: runnerstats.New(), warmth: slowstart.New(chance)}
	view := daemon.NewView(top)
	r.frame = snapshot.NewFrame(snapshot.Options{
		Clock: top.Clock, Zones: top.Settings.Zones, Region: top.Settings.Region, View: view, Listed: r.listed(top), Monitor: monitor,
	})
	var err error
	r.common, err = daemon.New(top, daemon.Options{Role: Role, OnUpdate: r.frame.Absorb, View: view, Network: options.Network, Monitor: monitor})
	if err != nil {
		return nil, err
	}
	tries := retrybudget.New(r.budget(top))
	gate := balancer.New(balancer.Options{
		Scope: top, Snapshots: r.frame, Stats: r.board, RetryBudget: tries, SlowStart: r.warmth,
		Region: top.Settings.Region, SlowStartSharers: r.common.Zones.Sharers, RouterCount: r.sharers, ZoneLost: r.lost.has, Random: chance,
	})
	sender := upstream.NewClient(upstream.Options{
		Clock: top.Clock, Dialing: httpcall.Dialer{Timeout: r.pace.ConnectTimeout, UserTimeout: r.pace.PeerTimeout},
		IdleTimeout: 8 * r.pace.PeerTimeout, MaxIdlePerHost: top.Settings.Limits.OpenFiles / 64,
	})
	r.front = proxy.NewFront(proxy.Options{
		Scope: top, Frame: r.frame, Gate: gate, Board: r.board, Warmth: r.warmth, Sender: sender,
		Metrics: r.common.Metrics, Monitor: r.common.Monitor,
	})
	r.gate = r.common.NewReadIndexGate(r.frame.Ready(), r.serial)
	r.common.Metrics.GaugeFunc("config_version", "Version of the configuration that this router acts on.", nil, func() float64 { return float64(r.serial()) })
	r.common.Metrics.GaugeFunc("requests_running", "Requests of clients that are being answered.", nil, func() float64 { return float64(r.front.Running()) })
	r.parts(top)
	return r, nil
}

// budget is what this router may spend on further tries. A process before this
// one may have spent its part of the extra just now, unless all starts for the
// first time.
func (r *Router) budget(top scope.Scope) retrybudget.Options {
	bounds := top.Settings.Bounds
	options := retrybudget.Options{
		Ratio: bounds.RetryRatio, Reserve: bounds.RetryExtra, Window: settings.Seconds(bounds.RetryWindowS), Routers: r.sharers,
	}
	if !top.Settings.FirstStart {
		options.ReserveFrom = top.Now().Add(options.Window)
	}
	return options
}

// sharers is how many routers there could be.
func (r *Router) sharers() int { return r.common.Zones.RouterCount() }

// listed keeps the warmth of runners up with each new list.
func (r *Router) listed(top scope.Scope) func(*snapshot.Snapshot) {
	lag := settings.Milliseconds(top.Settings.Platform.MaxLagMS)
	return func(seen *snapshot.Snapshot) {
		var entries []slowstart.Runner
		for name, runners := range seen.Runners {
			warmup := clock.Span(0)
			if seen.Spec != nil && seen.Spec.Service(name) != nil {
				warmup = settings.Seconds(seen.Spec.Service(name).WarmupSeconds)
			}
			for _, runner := range runners {
				entries = append(entries, slowstart.Runner{
					ID: runner.ID, Remaining: settings.Milliseconds(float64(runner.WarmupLeftMS)), Warmup: warmup,
				})
			}
		}
		r.warmth.Update(entries, lag, top.Now())
	}
}

func (r *Router) parts(top scope.Scope) {
	common := r.common
	common.AddService("readiness", func(ctx scope.Scope) error {
		return common.ServeHTTP(ctx, top.Settings.Listen["readiness"], http.HandlerFunc(r.readiness))
	})
	common.AddOneShot("readindex", r.gate.Run)
	common.AddService("front", r.serveFront)
	common.AddService("report", r.report)
	common.AddService("doubts", r.doubts)
}

func (r *Router) readiness(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/ready" {
		response.FromKind(errkind.UnknownCall, request.URL.Path).Send(writer)
		return
	}
	if !r.common.Membership.Self().Ready {
		response.FromKind(errkind.NotReady, "the version is "+r.gate.State()).Send(writer)
		return
	}
	if state := r.gate.State(); state != readindex.Confirmed {
		response.Raw(http.StatusOK, "text/plain", []byte(state+"\n")).Send(writer)
		return
	}
	response.Empty(http.StatusOK).Send(writer)
}

// serveFront takes visitors in once a spec and the runners are known, and the
// spec is confirmed as the newest. The door
// opens a little earlier: those who come while these are on their way wait in
// the listener's queue rather than being turned off.
func (r *Router) serveFront(ctx scope.Scope) error {
	address := string(ctx.Settings.Listen["front"])
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = listener.Close() }()
	select {
	case <-ctx.Done():
		return nil
	case <-r.gate.Ready():
	case <-ctx.Clock.After(r.pace.ConnectTimeout):
		_ = listener.Close()
		select {
		case <-ctx.Done():
			return nil
		case <-r.gate.Ready():
		}
		if listener, err = net.Listen("tcp", address); err != nil {
			return err
		}
	}
	server := proxy.NewServer(r.front)
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	door := proxy.Door(r.front, listener)
	r.open(&entrance{listener: door, server: server})
	r.common.GossipNow(ctx)
	if err := server.Serve(door); !errors.Is(err, http.ErrServerClosed) && !r.leaves() {
		return err
	}
	<-ctx.Done()
	return nil
}
