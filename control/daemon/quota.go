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

// quotaState is what a daemon knows of the quotas around it.
type quotaState struct {
	policy quota.Policy
	// localAcquire and allow are set where this daemon may be the issuer.
	localAcquire func(quota.AcquireRequest, clock.Instant) quota.AcquireResponse
	localRenew   func(quota.AllowanceRequest, clock.Instant) quota.AllowanceResponse

	// unresponsiveRelays are the relays that did not answer this daemon.
	unresponsiveRelays quota.UnresponsiveRelays

	mu sync.Mutex
	// config was parsed from the gossiped item of that version.
	config        *config.Config
	configVersion ids.Version
	// issuer was decoded from the gossiped item of that version.
	issuer        ids.Address
	issuerVersion ids.Version
}

// QuotaPolicy returns the policy that follows from the settings.
func (d *Daemon) QuotaPolicy() quota.Policy { return d.quotas.policy }

// addQuotaRelay has this daemon relay credit for quotas to the routers of its zone
// while they ask it. A nil inForce stands for the configuration in the gossip store.
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

// ServeQuotaIssuer has this daemon answer relays by an issuer.
func (d *Daemon) ServeQuotaIssuer(issuer *quota.Issuer) {
	d.quotas.localAcquire, d.quotas.localRenew = issuer.Acquire, issuer.RenewAllowances
	transport.Handle(d.Calls, quota.IssueMessage, func(_ context.Context, req quota.AcquireRequest) (quota.AcquireResponse, error) {
		return issuer.Acquire(req, d.clock.Now()), nil
	})
	transport.Handle(d.Calls, quota.AllowanceMessage, func(_ context.Context, req quota.AllowanceRequest) (quota.AllowanceResponse, error) {
		return issuer.RenewAllowances(req, d.clock.Now()), nil
	})
}

// AcquireQuota asks the relays of the zone for credit, as quota.AskRelays does. Those that did
// not answer of late come last.
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
		// That the caller waited no longer says nothing of the relay.
		d.quotas.unresponsiveRelays.Record(relay, startedAt, err == nil)
	}
	return resp, err
}

// acquireFromIssuer asks the issuer for credit.
func (d *Daemon) acquireFromIssuer(ctx context.Context, req quota.AcquireRequest) (quota.AcquireResponse, error) {
	return callQuotaIssuer(ctx, d, d.quotas.localAcquire, quota.IssueMessage, req)
}

// renewFromIssuer asks the issuer for allowances.
func (d *Daemon) renewFromIssuer(ctx context.Context, req quota.AllowanceRequest) (quota.AllowanceResponse, error) {
	return callQuotaIssuer(ctx, d, d.quotas.localRenew, quota.AllowanceMessage, req)
}

// callQuotaIssuer sends a request to the issuer, or has the local one answer it.
func callQuotaIssuer[Request, Response any](ctx context.Context, d *Daemon, local func(Request, clock.Instant) Response, message string, req Request) (Response, error) {
	issuer := d.quotaIssuer()
	switch {
	case issuer == "":
		var none Response
		return none, errkind.Errorf(errkind.NotReady, "no issuer is known")
	case issuer == d.Address && local != nil:
		return local(req, d.clock.Now()), nil
	}
	limited, cancel := d.clock.WithTimeout(ctx, d.quotas.policy.IssuerTimeout())
	defer cancel()
	return transport.Send[Response](limited, d.Transport, issuer, message, req)
}

// quotaIssuer returns the address of the issuer that was announced last, empty if
// none was.
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

// Config returns the configuration in the gossip store, nil for none. It is parsed
// once a version.
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
