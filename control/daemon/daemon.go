// Package daemon implements what routers and fleet-controllers have in common: the
// membership and its probes, the gossip store, the transport and the handlers for
// calls from other daemons, the relays for quotas, rollouts and usage, the discovery
// fallback, outlier detection for the zone, metrics, and the supervisor that restarts
// failed services. It owns the daemon's datagram socket and its internal listener.
package daemon

import (
	"context"
	"net/http"
	"sync"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/base/memquota"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/base/telemetry"
	"onyxwell/control/config"
	"onyxwell/control/discovery"
	"onyxwell/control/gossip"
	"onyxwell/control/membership"
	"onyxwell/control/membership/zonesummary"
	"onyxwell/control/outlier"
	"onyxwell/control/planning/autoscaler"
	"onyxwell/control/quota"
	"onyxwell/control/transport"
)

// RouterRole is the role of routers in the deploy file and in the membership.
const RouterRole = "router"

const (
	// bodyMemoryDivisor divides the memory limit to get the limit for the bodies of all
	// calls together. It leaves room for the copies that decoding makes of each body
	// while the call is served.
	bodyMemoryDivisor = 4
	// callBodyDivisor divides the memory limit to get the limit for the body of one call
	// from another daemon.
	callBodyDivisor = 8
	// maxDatagram is the size in bytes of the receive buffer for datagrams.
	maxDatagram = 64 << 10
)

// Daemon is the common base of a router and a fleet-controller. Its exported fields
// are set by New and must not be changed afterwards.
type Daemon struct {
	clock    clock.Clock
	log      *log.Logger
	settings *settings.Settings
	Network  Network
	// Address is the internal address at which other daemons reach this one.
	Address    ids.Address
	Membership *membership.Table
	// Updates is the gossip store.
	Updates   *gossip.Store
	Transport *transport.Client
	// Calls has the handlers for calls from other daemons.
	Calls    *httpcall.Mux
	Gossiper *gossip.Gossiper
	Zones    *zonesummary.Manager
	Metrics  *telemetry.Metrics
	// Monitor counts invariant violations.
	Monitor *invariant.Monitor
	// BodyQuota limits the memory for the bodies of all calls together.
	BodyQuota *memquota.Quota
	// Traffic counts the messages sent to other daemons, and the bytes sent to and
	// received from them.
	Traffic httpcall.Traffic

	timing     Timing
	prober     *membership.Prober
	supervisor *suture.Supervisor
	socket     Socket
	reports    autoscaler.Aggregator
	quotaRelay *quota.Relay
	quotas     quotaState
	usage      *usageState
	rollouts   *rolloutState
	outliers   outlier.Detector

	mu sync.Mutex
	// planVersion is the version of the routing plan from which planOwner was read.
	planVersion ids.Version
	planOwner   ids.Address
}

// Options configure a Daemon for its role.
type Options struct {
	// Role is the daemon's role in the deploy file and in the membership.
	Role string
	// OnUpdate is called with each new gossip item, in the order of the item's versions.
	// It is required.
	OnUpdate func(gossip.Item)
	// View is the list of runners that OnUpdate keeps up to date. If it is set, the
	// daemon polls the platform itself while the list is stale. It may be nil.
	View *discovery.View
	// Config returns the current configuration, or nil if there is none. It defaults to
	// Daemon.Config, which reads the gossip store.
	Config func() *config.Config
	// Network defaults to HostNetwork.
	Network Network
	// Monitor defaults to a new monitor that logs to the daemon's log.
	Monitor *invariant.Monitor
}

// New creates the daemon for a role and opens its datagram socket. Everything else
// is started by Run.
func New(env scope.Scope, options Options) (*Daemon, error) {
	d := &Daemon{
		clock: env.Clock, log: env.Log, settings: env.Settings, Network: options.Network, Monitor: options.Monitor,
		Address: env.Settings.InternalAddress(env.Settings.IP, options.Role),
		timing:  TimingOf(env.Settings),
	}
	if d.Network == nil {
		d.Network = HostNetwork{}
	}
	if d.Monitor == nil {
		d.Monitor = &invariant.Monitor{Log: env.Log}
	}
	d.Metrics = telemetry.New(d.Monitor)
	d.initMembership(options)
	d.initTransport()
	d.initGossip()
	var err error
	if d.socket, err = d.Network.Datagrams(d.Address); err != nil {
		return nil, err
	}
	d.prober = &membership.Prober{Table: d.Membership, Config: d.timing.Probe, Send: d.sendDatagram, Guard: d.Transport.Guard}
	d.supervisor = suture.New(options.Role, suture.Spec{
		FailureBackoff: d.timing.GossipInterval, Timeout: d.timing.ConnectTimeout,
		EventHook: func(event suture.Event) { env.Log.Warn().Str("part", "supervisor").Msg(event.String()) },
	})
	d.addServices(options)
	return d, nil
}

// initMembership creates the membership table, the zone summaries and the gossip
// store that updates them.
func (d *Daemon) initMembership(options Options) {
	node := d.settings
	d.Membership = membership.NewTable(d.clock, membership.Member{
		Address: d.Address, Role: options.Role, Zone: node.Zone, Region: node.Region,
		ClientAddress: node.Listen["front"], ServesControl: node.Listen["control"] != "" && options.Role != RouterRole,
		LinkMbps: int64(node.Limits.LinkMbps),
	})
	d.Zones = &zonesummary.Manager{
		Table: d.Membership, Zones: node.Zones, RouterRole: RouterRole, SettleTime: d.timing.ZoneSettleTime,
	}
	d.Updates = gossip.NewStore(func(item gossip.Item) {
		d.Zones.HandleItem(item)
		options.OnUpdate(item)
	})
	d.Zones.Store = d.Updates
}

// initTransport creates the client for calls to other daemons and the mux for calls
// from them. Both use one guard, which adds the deployment tag to outgoing requests,
// rejects incoming messages from other deployments, and counts the rejected messages of
// both directions.
func (d *Daemon) initTransport() {
	memory := d.settings.Limits.MemoryMB << 20
	d.Transport = transport.NewClientOnNetwork(d.Network, httpcall.Dialer{
		Timeout: d.timing.ConnectTimeout, UserTimeout: d.timing.PeerTimeout, Traffic: &d.Traffic,
	})
	d.Transport.Guard, d.Transport.Stats = transport.NewGuard(d.settings.Zones, d.log), &transport.MessageStats{}
	d.BodyQuota = memquota.New(memory/bodyMemoryDivisor, d.Monitor)
	d.Calls = httpcall.NewMux(d.clock, memory/callBodyDivisor)
	d.Calls.Gate, d.Calls.Metrics, d.Calls.Bodies = d.Transport.Guard, d.Metrics, d.BodyQuota
}

func (d *Daemon) initGossip() {
	node := d.settings
	d.Gossiper = &gossip.Gossiper{
		Clock: d.clock,
		Store: d.Updates, Table: d.Membership, Client: d.Transport,
		Seeds: node.SeedAddresses(), Interval: d.timing.GossipInterval, Timeout: d.timing.PeerTimeout,
		Rejoining: !node.FirstStart,
		Zones:     node.Zones, RelaysPerZone: d.timing.RelaysPerZone, Fanout: d.timing.Fanout,
	}
	d.Gossiper.RegisterHandlers(d.Calls)
}

// addServices adds the services in the order in which the supervisor starts them.
func (d *Daemon) addServices(options Options) {
	d.AddService("calls", func(ctx context.Context) error { return d.Network.Serve(ctx, d.Address, d.Calls, &d.Traffic) })
	d.AddService("probe", func(ctx context.Context) error { d.prober.Run(ctx); return nil })
	d.AddService("datagrams", d.receiveDatagrams)
	d.addReports()
	d.addQuotaRelay(options.Config)
	d.addUsage()
	d.addRollouts()
	d.addMetrics()
	if options.View != nil {
		d.addDiscoveryFallback(options.View)
	}
	d.AddService("relays", func(ctx context.Context) error {
		for clock.Wait(ctx, d.clock, d.timing.ZoneSummaryInterval) {
			d.Membership.UpdateRelayRole(d.timing.RelaysPerZone, d.timing.Probe.SuspicionTimeout)
			d.Zones.Refresh()
		}
		return nil
	})
	d.AddService("gossip", func(ctx context.Context) error { d.Gossiper.Run(ctx); return nil })
}

// service is a named function that the supervisor runs as a suture.Service.
type service struct {
	name string
	run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the name of the service in the supervisor's log lines.
func (s service) String() string { return s.name }

// AddService adds a service that the supervisor starts, and restarts whenever run
// returns before its ctx is done. It must not be called after Run.
func (d *Daemon) AddService(name string, run func(ctx context.Context) error) {
	d.supervisor.Add(service{name: name, run: run})
}

// AddOneShot adds a service that is not restarted after run returns.
func (d *Daemon) AddOneShot(name string, run func(ctx context.Context)) {
	d.AddService(name, func(ctx context.Context) error {
		run(ctx)
		<-ctx.Done()
		return nil
	})
}

// Run runs all services until ctx is done.
func (d *Daemon) Run(ctx context.Context) error { return d.supervisor.Serve(ctx) }

// ServeHTTP serves a handler at an address until ctx is done. Its traffic is not
// counted, because Traffic covers only other daemons.
func (d *Daemon) ServeHTTP(ctx context.Context, address ids.Address, handler http.Handler) error {
	return d.Network.Serve(ctx, address, handler, nil)
}

func (d *Daemon) sendDatagram(to ids.Address, body []byte) {
	d.Traffic.Messages.Add(1)
	d.Traffic.BytesOut.Add(int64(len(body)))
	d.Transport.Stats.Add("datagram", len(body), 0)
	d.socket.Send(to, body)
}

// receiveDatagrams passes datagrams to the prober until receiving fails. The socket
// is closed when ctx is done.
func (d *Daemon) receiveDatagrams(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.socket.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		size, sender, err := d.socket.Receive(buffer)
		if err != nil {
			return err
		}
		d.Traffic.BytesIn.Add(int64(size))
		d.prober.Receive(ctx, sender, buffer[:size])
	}
}

// Leave marks this daemon as Left in the membership and announces that by gossip. It
// doesn't wait until the announcement has arrived.
func (d *Daemon) Leave(ctx context.Context) {
	d.Membership.UpdateSelf(func(self *membership.Member) { self.State, self.Ready = membership.Left, false })
	d.GossipNow(ctx)
}

// GossipNow starts concurrent gossip exchanges with several members without waiting
// for them. Each ends when ctx is done or after the gossiper's timeout.
func (d *Daemon) GossipNow(ctx context.Context) {
	for _, address := range d.Gossiper.AnnounceTargets() {
		go d.Gossiper.Exchange(ctx, address)
	}
}

// Reload applies reloaded settings. Only changed seeds take effect without a restart.
func (d *Daemon) Reload(reloaded *settings.Settings) { d.Gossiper.SetSeeds(reloaded.SeedAddresses()) }
