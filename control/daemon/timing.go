package daemon

import (
	"time"

	"onyxwell/base/settings"
	"onyxwell/control/membership"
)

// Timing holds a daemon's intervals and timeouts. All are fixed or derived from the
// bounds in the settings, so that every daemon of a fleet uses the same ones.
type Timing struct {
	// ConnectTimeout is the timeout for connecting to another daemon.
	ConnectTimeout time.Duration
	// PeerTimeout is how long a peer may leave data unacknowledged before the connection
	// is closed. It is also the timeout of a message.
	PeerTimeout time.Duration
	// GossipInterval is the interval between anti-entropy exchanges.
	GossipInterval time.Duration
	// DiscoveryInterval is the interval between polls of the platform.
	DiscoveryInterval time.Duration
	// LeaseDuration is the time to live of a lease.
	LeaseDuration time.Duration
	// SweepInterval is the interval between sweeps for committed values that were never
	// gossiped.
	SweepInterval time.Duration
	// ForwardTimeout is how long to wait for the response of a key's owner to a forwarded
	// command.
	ForwardTimeout time.Duration
	// CommandTimeout is the overall timeout of an operator's command.
	CommandTimeout time.Duration
	// Probe configures the probes of the membership.
	Probe membership.ProbeConfig
	// ZoneSummaryInterval is the interval at which a daemon updates its own relay role and
	// the zone summaries.
	ZoneSummaryInterval time.Duration
	// ZoneSettleTime is how long no further router of a zone must have been discovered
	// before the size of the zone is published for the first time.
	ZoneSettleTime time.Duration
	// RelaysPerZone is the number of daemons in a zone that act as relays.
	RelaysPerZone int
	// Fanout is the maximum number of other daemons to which a relay pushes.
	Fanout int
}

// TimingOf derives the timing from the bounds in the settings. Gossip must reach every
// daemon well within apply_within_ms, and commands must be answered well within the time
// for acknowledging them. If drain_ms or in_touch_ms is missing, apply_within_ms is used
// instead.
func TimingOf(node *settings.Settings) Timing {
	apply := settings.Milliseconds(node.Bounds.ApplyWithinMS)
	inTouch := settings.Milliseconds(node.Bounds.InTouchMS)
	drain := settings.Milliseconds(node.Bounds.DrainMS)
	if drain == 0 {
		drain = apply
	}
	if inTouch == 0 {
		inTouch = apply
	}
	return Timing{
		ConnectTimeout:    apply / 6,
		PeerTimeout:       inTouch / 2,
		GossipInterval:    apply / 6,
		DiscoveryInterval: drain / 6,
		LeaseDuration:     inTouch / 3,
		SweepInterval:     apply / 6,
		ForwardTimeout:    apply / 8,
		CommandTimeout:    apply * 3 / 10,
		Probe: membership.ProbeConfig{
			Interval: inTouch / 8, AckTimeout: inTouch / 20, SuspicionTimeout: inTouch / 3, IndirectProbes: 2,
		},
		ZoneSummaryInterval: apply / 12,
		ZoneSettleTime:      inTouch,
		RelaysPerZone:       2,
		Fanout:              8,
	}
}
