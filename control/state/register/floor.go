package register

import "onyxwell/base/ids"

// FloorKey is the key of the slot whose promise holds for all keys that an acceptor has no
// slot of. It is stored, and sent to controllers that join, and must never change.
const FloorKey = "promise-floor"

// maxValuelessSlots is the number of slots without a proposal that are kept at a start.
// Builds that acquired each key that was read left one of every name that a caller made up.
const maxValuelessSlots = 64

// dropValueless removes the slots without a proposal if there are more than limit of them.
// Their highest promise becomes a part of the floor, so no promise is broken: a proposer
// that held one of the keys has to acquire it again. The store still has the slots until
// it is compacted, and a restart until then finds the same floor. It must be called before
// the acceptor is used.
func (a *Acceptor) dropValueless(limit int) {
	floor := a.slots[FloorKey]
	var valueless []string
	for key, slot := range a.slots {
		if slot.Accepted.Sequence > 0 || key == FloorKey {
			continue
		}
		valueless = append(valueless, key)
		if slot.Promised.Number >= floor.Promised.Number {
			// The number above that of every promise, so that the floor has no owner.
			floor.Promised = ids.Epoch{Number: slot.Promised.Number + 1}
		}
	}
	if len(valueless) <= limit {
		return
	}
	for _, key := range valueless {
		delete(a.slots, key)
		delete(a.durable, key)
	}
	floor.Key = FloorKey
	a.slots[FloorKey], a.durable[FloorKey] = floor, floor
}
