package controller

import (
	"context"

	"onyxwell/base/httpcall"
	"onyxwell/base/settings"
	"onyxwell/control/admin"
	"onyxwell/control/directory"
	"onyxwell/control/discovery"
	"onyxwell/control/quota"
	"onyxwell/control/rollout"
	"onyxwell/control/state/lease"
)

// Names of the singletons' leases. They are stored and sent, so they must never change.
const (
	discoveryLease = "census"
	planningLease  = "plan"
	quotaLease     = quota.LeaseName
	rolloutLease   = rollout.LeaseName
)

const (
	// adminBodyDivisor divides the memory limit to give the maximum size of the body
	// of an admin call.
	adminBodyDivisor = 16
	// decodedConfigDivisor divides the memory limit to give the most memory that a
	// configuration may take once it is decoded, beside its text and the one in force.
	decodedConfigDivisor = 3
	// lookupBodyLimit is the maximum size of the body of a directory lookup, in bytes.
	lookupBodyLimit = 1 << 16
	// pollsPerHeartbeat is the number of discovery intervals between two heartbeats
	// of an unchanged endpoint list.
	pollsPerHeartbeat = 2
)

// addServices adds the services in the order in which the supervisor starts them.
func (c *Controller) addServices() {
	c.daemon.AddService("quorum", func(ctx context.Context) error { c.quorum.Run(ctx); return nil })
	c.daemon.AddService("voter", func(ctx context.Context) error { c.voter.Run(ctx, c.timing.GossipInterval); return nil })
	c.daemon.AddService("sweep", func(ctx context.Context) error { c.commands.Run(ctx, c.timing.SweepInterval); return nil })
	c.daemon.AddService("counters", func(ctx context.Context) error { c.counters.Run(ctx); return nil })
	c.addSingleton(singleton{lease: discoveryLease, newService: c.newPublisher})
	c.addSingleton(singleton{lease: planningLease, newService: c.newAutoscaler})
	c.addSingleton(singleton{lease: quotaLease, newService: c.newQuotaIssuer, eligible: c.KnowsRouterCount})
	c.addDuties()
	c.addRollouts()
	c.addAdminAPI()
	c.addDirectory()
}

// singleton is a service that acts only while this controller holds a lease.
type singleton struct {
	// lease is the name of the lease.
	lease string
	// newService returns the function that runs the service. It is called once, before the
	// supervisor starts.
	newService func(*lease.Holder) func(context.Context)
	// eligible reports whether the service could do its work on this controller; while it
	// could not, the lease is left to other controllers. nil means always eligible.
	eligible func() bool
}

// addSingleton adds the service of a singleton and that of its lease holder.
func (c *Controller) addSingleton(s singleton) {
	holder := lease.NewHolder(lease.Options{
		Clock: c.clock, Log: c.log,
		Name: s.lease, Address: c.daemon.Address, TTL: c.timing.LeaseDuration, Eligible: s.eligible,
		RequestGrant: c.voter.RequestLease, NextEpoch: c.commands.NextEpoch, Monitor: c.daemon.Monitor,
	})
	c.leases = append(c.leases, holder)
	run := s.newService(holder)
	c.daemon.AddService("lease "+s.lease, func(ctx context.Context) error { holder.Run(ctx); return nil })
	c.daemon.AddService(s.lease, func(ctx context.Context) error { run(ctx); return nil })
}

// newPublisher creates the singleton that polls the platform's endpoint list and
// publishes it.
func (c *Controller) newPublisher(holder *lease.Holder) func(context.Context) {
	publisher := &discovery.Publisher{
		Platform: c.daemon.NewPlatformClient(), Updates: c.daemon.Updates, Held: holder.Held,
		Resign: func(ctx context.Context) {
			holder.StepDown(ctx, c.timing.LeaseDuration)
		},
		RunnersExpected: c.awaitsRunners,
		Interval:        c.timing.DiscoveryInterval, HeartbeatInterval: pollsPerHeartbeat * c.timing.DiscoveryInterval,
		Clock: c.clock, Log: c.log, RatePerS: c.settings.Platform.RatePerS,
	}
	return func(ctx context.Context) { publisher.Run(ctx) }
}

// newQuotaIssuer creates the singleton that issues credit for the tenants' quotas.
func (c *Controller) newQuotaIssuer(holder *lease.Holder) func(context.Context) {
	issuer := quota.NewIssuer(quota.IssuerOptions{
		Clock: c.clock, Address: c.daemon.Address, Policy: c.daemon.QuotaPolicy(), Held: holder.Held,
		Config: c.daemon.Config, Routers: c.daemon.Zones.LargestRouterCount, Updates: c.daemon.Updates, Log: c.log,
	})
	c.daemon.ServeQuotaIssuer(issuer)
	return issuer.Run
}

// addAdminAPI adds the listener of the admin API.
func (c *Controller) addAdminAPI() {
	mux := c.newMux(c.settings.Limits.MemoryMB << 20 / adminBodyDivisor)
	admin.Serve(mux, admin.Options{Log: c.log, Dispatcher: c.commands, Zones: c.settings.Zones, MaxDecodedBytes: c.maxDecodedBytes(), Metrics: c.daemon.Metrics})
	admin.ServeHeadroom(mux, c.daemon.Updates)
	admin.ServeCounters(mux, c.counters)
	admin.ServeParts(mux, c.handOverPart)
	c.serveRollouts(mux)
	c.serveStatus(mux)
	c.addListener("control", mux)
}

// maxDecodedBytes returns the most memory that a configuration, or a change of it, may take
// once it is decoded.
func (c *Controller) maxDecodedBytes() int64 {
	return c.settings.Limits.MemoryMB << 20 / decodedConfigDivisor
}

// addDirectory adds the listener for the directory lookups of clients.
func (c *Controller) addDirectory() {
	mux := c.newMux(lookupBodyLimit)
	handler := &directory.Directory{
		Membership: c.daemon.Membership, OtherZones: c.daemon.Zones.RemoteEndpoints, Zones: c.settings.Zones,
		LossTimeout: max(settings.Seconds(c.settings.Bounds.RecoveryS), c.timing.LeaseDuration),
		TTLMaxS:     c.settings.Bounds.TTLMaxS,
		Metrics:     c.daemon.Metrics, Monitor: c.daemon.Monitor,
	}
	handler.Serve(mux)
	c.addListener("directory", mux)
}

// newMux creates a mux that uses the daemon's metrics, log and quota for request bodies.
func (c *Controller) newMux(bodyLimit int64) *httpcall.Mux {
	mux := httpcall.NewMux(c.clock, bodyLimit)
	mux.Metrics, mux.Bodies, mux.Log = c.daemon.Metrics, c.daemon.BodyQuota, c.log
	return mux
}

// addListener adds a service that serves a mux at the address that the settings list
// under name.
func (c *Controller) addListener(name string, mux *httpcall.Mux) {
	c.daemon.AddService(name, func(ctx context.Context) error {
		return c.daemon.ServeHTTP(ctx, c.settings.Listen[name], mux)
	})
}
