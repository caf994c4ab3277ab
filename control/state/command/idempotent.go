package command

import (
	"context"

	"onyxwell/control/transport"

	"onyxwell/control/config/evacuation"
)

// drainedByVerb maps each verb on a zone to the drained state that it requests.
var drainedByVerb = map[string]bool{VerbDrain: true, VerbUndrain: false}

// dispatchOnce routes a command so that a configuration change or a zone command
// takes effect at most once, even if it is routed several times because its outcome
// is unknown. For a configuration change, the history of changes shows whether it
// was already applied. A zone's state has no history: it is read first, and the
// update applies only to that version. Every write of a zone's state toggles it, so
// a higher version means that the zone has been in the requested state at some time
// since the command arrived. Then nothing is left to do, even if another command has
// toggled the zone back. VerbEpoch has no such protection: routed several times, it
// may increment the epoch more than once.
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
	// Only the write of version 1 need not toggle the state: the first command for a
	// zone, which is not drained until then, may be an undrain.
	cmd.ZoneVersion = max(state.Version, 1)
	return d.routeWithRetries(ctx, cmd)
}
