package register

// persist makes what memory holds for the keys last. A change stands in memory
// first, so that messages meanwhile are judged by it; but nothing may be
// answered on it before the disk has it, also when another call's save of it is
// under way or has failed: each caller sees to the disk itself.
func (a *Acceptor) persist(keys ...string) error {
	a.mu.Lock()
	store := a.store
	var ahead []Slot
	for _, key := range keys {
		if slot := a.slotOf(key); !equalSlots(slot, a.durable[key]) {
			ahead = append(ahead, slot)
		}
	}
	a.mu.Unlock()
	for _, slot := range ahead {
		if err := store.Save(encode(record{Slot: slot})); err != nil {
			return err
		}
		a.mu.Lock()
		a.durable[slot.Key] = mergeSlots(a.durable[slot.Key], slot)
		a.mu.Unlock()
	}
	return nil
}

// grantDurably gives the verdict on a message that was taken in memory. A voter that
// acts under a generation must remember it as long as what it did under it: one
// that fell back to an older one would grant what the newer one fences.
func (a *Acceptor) grantDurably(key string) Verdict {
	if a.persist(VotersKey, key) != nil {
		return Failed
	}
	return Granted
}

// equalSlots tells whether two states of a slot are the same; an epoch and a sequence
// name one value.
func equalSlots(left Slot, right Slot) bool {
	return left.Promised == right.Promised && left.Accepted.Epoch == right.Accepted.Epoch && left.Accepted.Sequence == right.Accepted.Sequence
}
