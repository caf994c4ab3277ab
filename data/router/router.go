// Package router implements the daemon of the data plane. It runs on every edge machine,
// forwards clients' requests to model runners and keeps no durable state.
//
// A router becomes ready only when it has a list of runners and a configuration that the
// controllers have confirmed as the newest. If it reaches no majority of them for too long,
// it becomes ready unconfirmed, see package readindex. Once it drains, it never becomes
// ready again.
package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/config"
	"onyxwell/control/daemon"
	"onyxwell/control/rollout"
	"onyxwell/control/state/readindex"
	"onyxwell/data/balancer"
	"onyxwell/data/canary"
	"onyxwell/data/proxy"
	"onyxwell/data/ratelimit"
	"onyxwell/data/retrybudget"
	"onyxwell/data/runnerstats"
	"onyxwell/data/slowstart"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// Role is the name of the router role in the deploy file and in the membership table.
const Role = "router"

// Options configures a Router.
type Options struct {
	// Network is the network that the daemon uses; nil is that of the machine.
	Network daemon.Network
}

// Router is a router daemon. Use New to create one.
type Router struct {
	clock     clock.Clock
	settings  *settings.Settings
	daemon    *daemon.Daemon
	timing    daemon.Timing
	snapshots *snapshot.Store
	stats     *runnerstats.Collector
	slowStart *slowstart.Tracker
	// checksDue is signaled when runners have become unverified.
	checksDue chan struct{}
	lostZones lostZoneTracker
	// avoided is used by the probes' loop only.
	avoided   avoidedRunners
	readIndex *readindex.Gate
	proxy     *proxy.Proxy
	limiter   *ratelimit.Limiter
	usage     *usageReporter
	// versions is nil if the settings have no rollout rule.
	versions *canary.Gate

	mu sync.Mutex
	// endpoint is nil until the router is ready for the first time.
	endpoint *clientEndpoint
	draining bool
}

const (
	// upstreamIdleFactor is the idle timeout of connections to runners that do not
	// announce one, as a multiple of the peer timeout.
	upstreamIdleFactor = 8
	// idlePerHostDivisor limits the idle connections to one runner to
	// 1/idlePerHostDivisor of the file descriptors.
	idlePerHostDivisor = 64
)

// New returns a Router, which does nothing until Run is called.
func New(top scope.Scope, options Options) (*Router, error) {
	monitor := &invariant.Monitor{Log: top.Log}
	r := &Router{
		clock: top.Clock, settings: top.Settings,
		timing: daemon.TimingOf(top.Settings), stats: runnerstats.New(), checksDue: make(chan struct{}, 1),
	}
	view := daemon.NewView(top)
	r.trackRunners(snapshot.Options{
		Clock: r.clock, Log: top.Log, Zones: r.settings.Zones, Region: r.settings.Region, View: view,
		TracksVersions: r.settings.HasRule(settings.RolloutRule), Monitor: monitor,
	})
	var err error
	r.daemon, err = daemon.New(top, daemon.Options{
		Role: Role, OnUpdate: r.snapshots.Apply, View: view, Config: r.config, Network: options.Network, Monitor: monitor,
	})
	if err != nil {
		return nil, err
	}
	r.limiter = ratelimit.New(ratelimit.Options{
		Clock: r.clock, Policy: r.daemon.QuotaPolicy(), Config: r.config, Routers: r.daemon.Zones.LargestRouterCount,
		Acquire: r.daemon.AcquireQuota, Random: rand.Float64, Log: top.Log,
	})
	if r.settings.HasRule(settings.RolloutRule) {
		r.versions = canary.New(canary.Options{
			Clock: r.clock, Policy: rollout.PolicyOf(r.settings.Bounds), Snapshots: r.snapshots, Region: r.settings.Region,
			Exchange: r.daemon.ExchangeRollouts, Random: rand.Float64,
		})
	}
	r.usage = newUsageReporter(r.clock, r.settings, r.daemon)
	r.proxy = proxy.New(proxy.Options{
		Clock: r.clock, Log: top.Log, Limits: r.settings.Limits, Snapshots: r.snapshots, Stats: r.stats, SlowStart: r.slowStart,
		Balancer: balancer.New(balancer.Options{
			Clock: r.clock, Snapshots: r.snapshots, Stats: r.stats, SlowStart: r.slowStart,
			RetryBudget: retrybudget.New(r.retryBudgetOptions()), Region: r.settings.Region,
			SlowStartRouters: r.daemon.Zones.SlowStartRouters, RouterCount: r.routerCount, ZoneLost: r.lostZones.contains, Versions: r.versions, Random: rand.Float64,
		}),
		Upstream: upstream.NewClient(upstream.Options{
			Clock: r.clock, Dialer: r.dialer(),
			IdleTimeout: upstreamIdleFactor * r.timing.PeerTimeout, MaxIdlePerHost: r.settings.Limits.OpenFiles / idlePerHostDivisor,
		}),
		OnRequestBegan: r.usage.requestBegan, RevokedKeyTimeout: revokedKeyTimeout(r.settings.Bounds),
		Limiter: r.limiter, Canary: r.versions, QuotaRetryAfter: r.daemon.QuotaPolicy().RetryAfter(),
		Metrics: r.daemon.Metrics, Monitor: r.daemon.Monitor,
	})
	r.readIndex = r.daemon.NewReadIndexGate(r.snapshots.Ready(), r.configVersion)
	r.daemon.Metrics.GaugeFunc("config_version", "Version of the configuration that this router acts on.", nil, func() float64 { return float64(r.configVersion()) })
	r.daemon.Metrics.GaugeFunc("requests_running", "Requests of clients that are being answered.", nil, func() float64 { return float64(r.proxy.InFlight()) })
	for source, name := range ratelimit.SourceNames {
		r.daemon.Metrics.CounterFunc("quota_requests_total", "Requests of tenants with a quota, by what they were admitted from, or rejected.",
			map[string]string{"source": name}, func() float64 { return float64(r.limiter.Requests(ratelimit.Source(source))) })
	}
	for cause, name := range ratelimit.CauseNames {
		r.daemon.Metrics.CounterFunc("quota_rejections_total", "Requests of tenants with a quota that were rejected, by cause.",
			map[string]string{"cause": name}, func() float64 { return float64(r.limiter.Rejections(ratelimit.Cause(cause))) })
	}
	r.addServices()
	return r, nil
}

// revokedKeyDivisor is the divisor of revoke_ms, the time for which an isolated router may accept
// API keys. When the router detects its isolation, 1/revokedKeyDivisor of this time is left.
const revokedKeyDivisor = 2

// revokedKeyTimeout returns the time after which a router that has detected its isolation stops
// accepting API keys, or 0 if it never does.
func revokedKeyTimeout(bounds settings.Bounds) time.Duration {
	if !bounds.RevokedFail {
		return 0
	}
	return max(1, settings.Milliseconds(bounds.RevokeMS)/revokedKeyDivisor)
}

// Run runs the router until ctx is done, then drains it. Settings received from reloaded
// are applied while it runs.
func (r *Router) Run(ctx context.Context, reloaded <-chan *settings.Settings) error {
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- r.daemon.Run(running) }()
	for {
		select {
		case fresh := <-reloaded:
			r.daemon.Reload(fresh)
		case err := <-ended:
			return err
		case <-ctx.Done():
			r.drain(context.WithoutCancel(ctx))
			return nil
		}
	}
}

func (r *Router) addServices() {
	r.daemon.AddService("readiness", r.serveReadiness)
	r.daemon.AddOneShot("readindex", r.readIndex.Run)
	r.daemon.AddService("front", r.serveClients)
	r.daemon.AddService("report", r.sendReports)
	r.daemon.AddService("quota", r.limiter.Run)
	r.usage.addService(r.daemon)
	if r.versions != nil {
		r.daemon.AddService("rollouts", func(ctx context.Context) error { r.versions.Run(ctx); return nil })
	}
	r.daemon.AddService("doubts", r.probeSuspects)
	r.daemon.AddService("verification", r.verifyRunners)
}

func (r *Router) dialer() httpcall.Dialer {
	return httpcall.Dialer{Timeout: r.timing.ConnectTimeout, UserTimeout: r.timing.PeerTimeout}
}

// retryBudgetOptions returns the options of this router's share of the retry budget. The
// reserve is withheld for one window, since a previous process of this router may just have
// spent it, unless the whole deployment starts for the first time.
func (r *Router) retryBudgetOptions() retrybudget.Options {
	bounds := r.settings.Bounds
	options := retrybudget.Options{
		Ratio: bounds.RetryRatio, Reserve: bounds.RetryExtra, Window: settings.Seconds(bounds.RetryWindowS), Routers: r.routerCount,
	}
	if !r.settings.FirstStart {
		options.ReserveFrom = r.clock.Now().Add(options.Window)
	}
	return options
}

// routerCount returns an upper bound on the number of routers.
func (r *Router) routerCount() int { return r.daemon.Zones.RouterCount() }

// configVersion returns the version of the configuration in use, or 0 if there is none
// yet.
func (r *Router) configVersion() ids.Version {
	if current := r.config(); current != nil {
		return current.Version
	}
	return 0
}

// config returns the configuration in use, or nil if there is none yet.
func (r *Router) config() *config.Config { return r.snapshots.Current().Config }
