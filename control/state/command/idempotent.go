package command

import (
	"onyxwell/base/errkind"
	"onyxwell/base/scope"
	"onyxwell/control/config/evacuation"
)

// drainVerbs are the verbs that have a zone be in one of two states.
var drainVerbs = map[string]bool{VerbDrain: true, VerbUndrain: false}

// dispatchOnce brings an order to the owner of its key so that it acts once. One whose
// answer was lost or unsettled is brought again, and may have acted before: the
// memory of a change of the spec tells, and a zone's serial. So the zone is read
// first. Each write turns it over: where its serial is higher by then, it was as
// wanted since the order came, and nothing is left to be done, though others may
// have turned it back.
func (d *Dispatcher) dispatchOnce(short scope.Scope, order Command) ([]byte, error) {
	wanted, wishing := drainVerbs[order.Verb]
	if !wishing || order.ZoneVersion > 0 {
		return d.routeWithRetries(short, order)
	}
	value, err := d.routeWithRetries(short, Command{Key: order.Key, Verb: VerbRead, Deadline: order.Deadline})
	if err != nil {
		return nil, err
	}
	kept, err := evacuation.Decode(value)
	if err != nil {
		return nil, errkind.Errorf(errkind.Internal, "kept evacuation: %v", err)
	}
	if kept.Version > 0 && kept.Drained == wanted {
		return value, nil
	}
	// The first write of all may leave the zone as it was.
	order.ZoneVersion = max(kept.Version, 1)
	return d.routeWithRetries(short, order)
}
