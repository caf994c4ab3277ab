package daemon

import (
	"context"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/base/settings"
	"onyxwell/control/rollout"
	"onyxwell/control/transport"
)

// rolloutState is a daemon's state for relaying rollouts. It is nil if the settings don't
// have the rollout rule.
type rolloutState struct {
	policy rollout.Policy
	relay  *rollout.Relay
	// localDirector calls the director in this process. It is set only if this daemon may
	// be the director.
	localDirector func(rollout.ExchangeRequest) rollout.ExchangeResponse
}

// addRollouts makes this daemon a relay for the rollout reports and permits of the routers
// of its zone, if the settings have the rollout rule.
func (d *Daemon) addRollouts() {
	if !d.settings.HasRule(settings.RolloutRule) {
		return
	}
	d.rollouts = &rolloutState{policy: rollout.PolicyOf(d.settings.Bounds)}
	d.rollouts.relay = rollout.NewRelay(rollout.RelayOptions{
		Clock: d.clock, Address: d.Address, Zone: d.settings.Zone, Policy: d.rollouts.policy,
		Routers: d.zoneRouters, Send: d.sendToDirector,
	})
	transport.Handle(d.Calls, rollout.RelayMessage, d.rollouts.relay.Exchange)
	d.AddService("rollout relay", func(ctx context.Context) error { d.rollouts.relay.Run(ctx); return nil })
}

// ServeRolloutDirector registers the handler that answers rollout relays by calling direct.
// It must be called only if the settings have the rollout rule.
func (d *Daemon) ServeRolloutDirector(direct func(rollout.ExchangeRequest) rollout.ExchangeResponse) {
	d.rollouts.localDirector = direct
	transport.Handle(d.Calls, rollout.DirectMessage, func(_ context.Context, req rollout.ExchangeRequest) (rollout.ExchangeResponse, error) {
		return direct(req), nil
	})
}

// ExchangeRollouts sends a router's report to the relays of the zone, one after the other,
// until one responds that is in contact with the director, and returns that response with
// its permits. If there is none, the response is empty, and the error is that of the last
// relay, which is nil if it responded without such contact. If no relay is known, the error
// is of kind errkind.NotReady.
func (d *Daemon) ExchangeRollouts(ctx context.Context, req rollout.ExchangeRequest) (rollout.ExchangeResponse, error) {
	req.From, req.Zone = d.Address, d.settings.Zone
	err := errkind.Errorf(errkind.NotReady, "no rollout relay is known")
	for _, relay := range d.Membership.Relays(d.settings.Zone, d.timing.RelaysPerZone) {
		var resp rollout.ExchangeResponse
		if resp, err = d.exchangeWithRelay(ctx, relay.Address, req); err == nil && resp.Directing {
			return resp, nil
		}
		if err == nil {
			// The relay has accepted the counts, so the next one is asked only for permits.
			req = req.WithoutCounts()
		}
	}
	return rollout.ExchangeResponse{}, err
}

func (d *Daemon) exchangeWithRelay(ctx context.Context, relay ids.Address, req rollout.ExchangeRequest) (rollout.ExchangeResponse, error) {
	if relay == d.Address {
		return d.rollouts.relay.Exchange(ctx, req)
	}
	limited, cancel := d.clock.WithTimeout(ctx, d.rollouts.policy.ExchangeInterval)
	defer cancel()
	return transport.Send[rollout.ExchangeResponse](limited, d.Transport, relay, rollout.RelayMessage, req)
}

// sendToDirector sends a relay's request to the director that was announced last, or
// calls the director in this process if this daemon is the director.
func (d *Daemon) sendToDirector(ctx context.Context, req rollout.ExchangeRequest) (rollout.ExchangeResponse, error) {
	director := d.rolloutDirector()
	switch {
	case director == "":
		return rollout.ExchangeResponse{}, errkind.Errorf(errkind.NotReady, "no rollout director is known")
	case director == d.Address && d.rollouts.localDirector != nil:
		return d.rollouts.localDirector(req), nil
	}
	limited, cancel := d.clock.WithTimeout(ctx, d.rollouts.policy.PermitTTL/2)
	defer cancel()
	return transport.Send[rollout.ExchangeResponse](limited, d.Transport, director, rollout.DirectMessage, req)
}

func (d *Daemon) rolloutDirector() ids.Address {
	item, ok := d.Updates.Get(rollout.DirectorKey)
	if !ok {
		return ""
	}
	announced, err := transport.Unmarshal[rollout.DirectorItem](item.Body)
	if err != nil {
		return ""
	}
	return announced.Address
}
