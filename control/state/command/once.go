package command

import (
	"onyxwell/base/errkind"
	"onyxwell/base/scope"
	"onyxwell/control/config/evacuation"
)

// wishes are the verbs that have a zone be in one of two states.
var wishes = map[string]bool{VerbEmpty: true, VerbRefill: false}

// once brings an order to the owner of its key so that it acts once. One whose
// answer was lost or unsettled is brought again, and may have acted before: the
// memory of a change of the spec tells, and a zone's serial. So the zone is read
// first. Each write turns it over: where its serial is higher by then, it was as
// wanted since the order came, and nothing is left to be done, though others may
// have turned it back.
func (d *Desk) once(short scope.Scope, order Order) ([]byte, error) {
	wanted, wishing := wishes[order.Verb]
	if !wishing || order.Past > 0 {
		return d.strive(short, order)
	}
	value, err := d.strive(short, Order{Key: order.Key, Verb: VerbRead, Until: order.Until})
	if err != nil {
		return nil, err
	}
	kept, err := evacuation.Read(value)
	if err != nil {
		return nil, errkind.Of(errkind.Internal, "kept evacuation: %v", err)
	}
	if kept.Serial > 0 && kept.Empty == wanted {
		return value, nil
	}
	// The first write of all may leave the zone as it was.
	order.Past = max(kept.Serial, 1)
	return d.strive(short, order)
}
