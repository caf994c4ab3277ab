package daemon

import (
	"onyxwell/base/clock"
	"onyxwell/base/settings"
	"onyxwell/control/membership"
)

// Timing holds how often a daemon does things; all of it follows from the
// bounds of the boot file.
type Timing struct {
	// ConnectTimeout is how long a connection to another daemon may take to come up.
	ConnectTimeout clock.Span
	// PeerTimeout is how long a daemon may be silent before its connections go.
	PeerTimeout clock.Span
	// GossipInterval is the time between two comparisons of news.
	GossipInterval clock.Span
	// DiscoveryInterval is the time between two questions to the platform.
	DiscoveryInterval clock.Span
	// LeaseDuration is how long a duty is granted for.
	LeaseDuration clock.Span
	// SweepInterval is the time between two looks for values that never became news.
	SweepInterval clock.Span
	// ForwardTimeout is how long the owner of a key may take to answer.
	ForwardTimeout clock.Span
	// CommandTimeout is how long an operator's order may take in all.
	CommandTimeout clock.Span
	Probe          membership.ProbeConfig
	// ZoneSummaryInterval is the time between two looks at who relays and what a zone looks like.
	ZoneSummaryInterval clock.Span
	// RelaysPerZone is how many daemons of a zone pass news on, Fanout to how many others
	// each does at most.
	RelaysPerZone int
	Fanout        int
}

// TimingOf works the paces out from the bounds: news must be everywhere well
// inside the time for applying a spec, orders be answered well inside the time
// for acknowledging them.
func TimingOf(node *settings.Settings) Timing {
	apply := settings.Milliseconds(node.Bounds.ApplyWithinMS)
	touch := settings.Milliseconds(node.Bounds.InTouchMS)
	drain := settings.Milliseconds(node.Bounds.DrainMS)
	if drain == 0 {
		drain = apply
	}
	if touch == 0 {
		touch = apply
	}
	return Timing{
		ZoneSummaryInterval: apply / 12,
		RelaysPerZone:       2,
		Fanout:              8,
		ConnectTimeout:      apply / 6,
		PeerTimeout:         touch / 2,
		GossipInterval:      apply / 6,
		DiscoveryInterval:   drain / 6,
		LeaseDuration:       touch / 3,
		SweepInterval:       apply / 6,
		ForwardTimeout:      apply / 8,
		CommandTimeout:      apply * 3 / 10,
		Probe:               membership.ProbeConfig{Interval: touch / 8, AckTimeout: touch / 20, SuspicionTimeout: touch / 3, IndirectProbes: 2},
	}
}
