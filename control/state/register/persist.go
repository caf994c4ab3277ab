package register

// persist makes the in-memory state of the keys durable. A change is made in
// memory first, so that concurrent requests are checked against it, but no request
// that depends on it may be answered before the store holds it. That includes the
// case that another call's save of the same change is in progress or has failed,
// so each caller saves the state itself.
func (a *Acceptor) persist(keys ...string) error {
	a.mu.Lock()
	store := a.store
	var unsaved []Slot
	for _, key := range keys {
		if slot, ok := a.slots[key]; ok && !equalSlots(slot, a.durable[key]) {
			unsaved = append(unsaved, slot)
		}
	}
	a.mu.Unlock()
	for _, slot := range unsaved {
		if err := store.Save(encode(record{Slot: slot})); err != nil {
			return err
		}
		a.mu.Lock()
		a.durable[slot.Key] = mergeSlots(a.durable[slot.Key], slot)
		a.mu.Unlock()
	}
	return nil
}

// persistGrant makes a request that was granted in memory durable, and returns
// Failed if that fails. The voter set is saved with the key: after a restart, a
// voter with an older generation would grant requests that the newer one fences
// off.
func (a *Acceptor) persistGrant(key string) Verdict {
	if a.persist(VotersKey, key) != nil {
		return Failed
	}
	return Granted
}
