package daemon

import (
	"onyxwell/base/clock"
	"onyxwell/base/settings"
	"onyxwell/control/membership"
)

// Pace holds how often a daemon does things; all of it follows from the
// bounds of the boot file.
type Pace struct {
	// Connect is how long a connection to another daemon may take to come up.
	Connect clock.Span
	// Silence is how long a daemon may be silent before its connections go.
	Silence clock.Span
	// Exchange is the time between two comparisons of news.
	Exchange clock.Span
	// Census is the time between two questions to the platform.
	Census clock.Span
	// Hold is how long a duty is granted for.
	Hold clock.Span
	// Sweep is the time between two looks for values that never became news.
	Sweep clock.Span
	// Pass is how long the owner of a key may take to answer.
	Pass clock.Span
	// Order is how long an operator's order may take in all.
	Order clock.Span
	Probe membership.ProbeConfig
	// View is the time between two looks at who relays and what a zone looks like.
	View clock.Span
	// Relays is how many daemons of a zone pass news on, Fanout to how many others
	// each does at most.
	Relays int
	Fanout int
}

// PaceOf works the paces out from the bounds: news must be everywhere well
// inside the time for applying a spec, orders be answered well inside the time
// for acknowledging them.
func PaceOf(node *settings.Boot) Pace {
	apply := settings.Milliseconds(node.Bounds.ApplyWithinMS)
	touch := settings.Milliseconds(node.Bounds.InTouchMS)
	drain := settings.Milliseconds(node.Bounds.DrainMS)
	if drain == 0 {
		drain = apply
	}
	if touch == 0 {
		touch = apply
	}
	return Pace{
		View:     apply / 12,
		Relays:   2,
		Fanout:   8,
		Connect:  apply / 6,
		Silence:  touch / 2,
		Exchange: apply / 6,
		Census:   drain / 6,
		Hold:     touch / 3,
		Sweep:    apply / 6,
		Pass:     apply / 8,
		Order:    apply * 3 / 10,
		Probe:    membership.ProbeConfig{Interval: touch / 8, AckTimeout: touch / 20, SuspicionTimeout: touch / 3, IndirectProbes: 2},
	}
}
