package daemon

import (
	"time"

	"onyxwell/base/settings"
	"onyxwell/control/membership"
)

// Timing holds a daemon's intervals and time-outs. All follow from the bounds in
// the settings, so that every daemon of a fleet agrees on them.
type Timing struct {
	// ConnectTimeout bounds connecting to another daemon.
	ConnectTimeout time.Duration
	// PeerTimeout is how long a peer may leave data unacknowledged before its
	// connections are closed, and the time-out of a message.
	PeerTimeout time.Duration
	// GossipInterval is the time between two anti-entropy exchanges.
	GossipInterval time.Duration
	// DiscoveryInterval is the time between two polls of the platform.
	DiscoveryInterval time.Duration
	// LeaseDuration is the time to live of a lease.
	LeaseDuration time.Duration
	// SweepInterval is the time between two sweeps for committed values that were
	// never gossiped.
	SweepInterval time.Duration
	// ForwardTimeout bounds the answer of a key's owner to a forwarded command.
	ForwardTimeout time.Duration
	// CommandTimeout bounds an operator's command in all.
	CommandTimeout time.Duration
	// Probe configures the membership's probes.
	Probe membership.ProbeConfig
	// ZoneSummaryInterval is the time between two relay elections and zone summaries.
	ZoneSummaryInterval time.Duration
	// ZoneSettleTime is for how long no further router of a zone must be heard of before
	// its size is published for the first time.
	ZoneSettleTime time.Duration
	// RelaysPerZone is how many daemons of a zone relay gossip.
	RelaysPerZone int
	// Fanout is how many others a relay pushes to at most.
	Fanout int
}

// TimingOf derives the timing from the settings' bounds: gossip must reach every
// daemon well within apply_within_ms, and commands be answered well within the
// time for acknowledging them. A missing drain_ms or in_touch_ms counts as
// apply_within_ms.
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
