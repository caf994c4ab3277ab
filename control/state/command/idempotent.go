package command

import (
	"context"

	"onyxwell/control/transport"

	"onyxwell/control/config/evacuation"
)

// drainedByVerb gives the drained state that a verb on a zone asks for.
var drainedByVerb = map[string]bool{VerbDrain: true, VerbUndrain: false}

// dispatchOnce routes a command so that it acts at most once, also when it is
// routed again because its outcome was open. For a change of the configuration
// the history of changes decides whether it acted before. A zone's state has
// none: it is read first, and the update applies to that version alone. Every
// write of a zone toggles it, so a higher version means that the zone was in the
// wanted state at some time since the command arrived, and nothing is left to be
// done, though others may have toggled it back.
func (d *Dispatcher) dispatchOnce(ctx context.Context, cmd Command) ([]byte, error) {
	drained, ok := drainedByVerb[cmd.Verb]
	if !ok || cmd.ZoneVersion > 0 {
		return d.routeWithRetries(ctx, cmd)
	}
	value, err := d.routeWithRetries(ctx, Command{Key: cmd.Key, Verb: VerbRead, Deadline: cmd.Deadline})
	if err != nil {
		return nil, err
	}
	state, err := evacuation.Decode(value)
	if err != nil {
		return nil, transport.NewStoredValueError(cmd.Key, err)
	}
	if state.Version > 0 && state.Drained == drained {
		return value, nil
	}
	// Version 1 is the one write that may not toggle: a zone that was never
	// drained may be undrained first.
	cmd.ZoneVersion = max(state.Version, 1)
	return d.routeWithRetries(ctx, cmd)
}
