package daemon

import (
	"context"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/config"
	"onyxwell/control/quota"
	"onyxwell/control/transport"
)

// quotaState is a daemon's state for relaying quota credit and calling the quota issuer.
type quotaState struct {
	policy quota.Policy
	// localAcquire and localRenew call the issuer in this process. They are set only if
	// this daemon may be the issuer.
	localAcquire func(quota.AcquireRequest, clock.Instant) quota.AcquireResponse
	localRenew   func(quota.AllowanceRequest, clock.Instant) quota.AllowanceResponse

	// unresponsiveRelays records the relays that did not respond to this daemon.
	unresponsiveRelays quota.UnresponsiveRelays

	mu sync.Mutex
	// config was parsed from the gossip item with version configVersion.
	config        *config.Config
	configVersion ids.Version
	// issuer was decoded from the gossip item with version issuerVersion.
	issuer        ids.Address
	issuerVersion ids.Version
}

// QuotaPolicy returns the quota policy derived from the settings.
func (d *Daemon) QuotaPolicy() quota.Policy { return d.quotas.policy }

// addQuotaRelay makes this daemon a relay from which the routers of its zone can acquire
// quota credit. If currentConfig is nil, the configuration in the gossip store is used.
func (d *Daemon) addQuotaRelay(currentConfig func() *config.Config) {
	if currentConfig == nil {
		currentConfig = d.Config
	}
	d.quotas.policy = quota.NewPolicy(d.settings.Bounds)
	d.quotaRelay = quota.NewRelay(quota.RelayOptions{
		Clock: d.clock, Address: d.Address, Policy: d.quotas.policy, Zones: len(d.settings.Zones),
		Config: currentConfig, Routers: d.Zones.LargestRouterCount, Issue: d.acquireFromIssuer, RenewAllowances: d.renewFromIssuer,
	})
	transport.Handle(d.Calls, quota.RelayMessage, d.quotaRelay.Acquire)
	d.AddService("quota relay", func(ctx context.Context) error { d.quotaRelay.Run(ctx); return nil })
}

// ServeQuotaIssuer registers the handlers that answer quota relays by calling issuer.
func (d *Daemon) ServeQuotaIssuer(issuer *quota.Issuer) {
	d.quotas.localAcquire, d.quotas.localRenew = issuer.Acquire, issuer.RenewAllowances
	transport.Handle(d.Calls, quota.IssueMessage, func(_ context.Context, req quota.AcquireRequest) (quota.AcquireResponse, error) {
		return issuer.Acquire(req, d.clock.Now()), nil
	})
	transport.Handle(d.Calls, quota.AllowanceMessage, func(_ context.Context, req quota.AllowanceRequest) (quota.AllowanceResponse, error) {
		return issuer.RenewAllowances(req, d.clock.Now()), nil
	})
}

// AcquireQuota acquires credit from the relays of the zone by quota.AskRelays. Relays
// that recently did not respond are asked last.
func (d *Daemon) AcquireQuota(ctx context.Context, req quota.AcquireRequest, delegate ids.Address) (quota.RelayAnswer, error) {
	req.From = d.Address
	var relays []ids.Address
	for _, relay := range d.Membership.Relays(d.Membership.Self().Zone, d.timing.RelaysPerZone) {
		relays = append(relays, relay.Address)
	}
	return quota.AskRelays(ctx, d.quotas.unresponsiveRelays.Order(relays, d.clock.Now()), req, delegate, d.acquireFromRelay)
}

func (d *Daemon) acquireFromRelay(ctx context.Context, relay ids.Address, req quota.AcquireRequest) (quota.AcquireResponse, error) {
	if relay == d.Address {
		return d.quotaRelay.Acquire(ctx, req)
	}
	limited, cancel := d.clock.WithTimeout(ctx, d.quotas.policy.RelayTimeout())
	defer cancel()
	startedAt := d.clock.Now()
	resp, err := transport.Send[quota.AcquireResponse](limited, d.Transport, relay, quota.RelayMessage, req)
	if err == nil || ctx.Err() == nil {
		// A failure after the caller's context has ended says nothing about the relay and
		// isn't recorded.
		d.quotas.unresponsiveRelays.Record(relay, startedAt, err == nil)
	}
	return resp, err
}

// acquireFromIssuer acquires credit from the issuer.
func (d *Daemon) acquireFromIssuer(ctx context.Context, req quota.AcquireRequest) (quota.AcquireResponse, error) {
	return callQuotaIssuer(ctx, d, d.quotas.localAcquire, quota.IssueMessage, req)
}

// renewFromIssuer renews allowances at the issuer.
func (d *Daemon) renewFromIssuer(ctx context.Context, req quota.AllowanceRequest) (quota.AllowanceResponse, error) {
	return callQuotaIssuer(ctx, d, d.quotas.localRenew, quota.AllowanceMessage, req)
}

// callQuotaIssuer sends a request to the issuer, or calls local if this daemon is the
// issuer.
func callQuotaIssuer[Request, Response any](ctx context.Context, d *Daemon, local func(Request, clock.Instant) Response, message string, req Request) (Response, error) {
	issuer := d.quotaIssuer()
	switch {
	case issuer == "":
		var none Response
		return none, errkind.Errorf(errkind.NotReady, "no quota issuer is known")
	case issuer == d.Address && local != nil:
		return local(req, d.clock.Now()), nil
	}
	limited, cancel := d.clock.WithTimeout(ctx, d.quotas.policy.IssuerTimeout())
	defer cancel()
	return transport.Send[Response](limited, d.Transport, issuer, message, req)
}

// quotaIssuer returns the address of the issuer that was announced last, or "" if none
// was announced.
func (d *Daemon) quotaIssuer() ids.Address {
	item, ok := d.Updates.Get(quota.IssuerKey)
	if !ok {
		return ""
	}
	d.quotas.mu.Lock()
	defer d.quotas.mu.Unlock()
	if item.Version != d.quotas.issuerVersion {
		if announced, err := transport.Unmarshal[quota.IssuerItem](item.Body); err == nil {
			d.quotas.issuerVersion, d.quotas.issuer = item.Version, announced.Address
		}
	}
	return d.quotas.issuer
}

// Config returns the configuration in the gossip store, or nil if there is none. Each
// version that is valid is parsed only once.
func (d *Daemon) Config() *config.Config {
	item, ok := d.Updates.Get(config.Key)
	if !ok {
		return nil
	}
	d.quotas.mu.Lock()
	defer d.quotas.mu.Unlock()
	if item.Version != d.quotas.configVersion {
		if parsed, err := config.Parse(item.Body); err == nil {
			d.quotas.configVersion, d.quotas.config = item.Version, parsed
		}
	}
	return d.quotas.config
}
