package register

import (
	"slices"
	"strings"
	"sync"

	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/transport"
)

// Store makes a record last; it returns once the disk has it.
type Store interface{ Save(record []byte) error }

// record is what the journal holds: a slot, or the identity of the disk.
type record struct {
	Identity    bool            `avro:"Identity"`
	Incarnation ids.Incarnation `avro:"Incarnation"`
	Slot        Slot            `avro:"Slot"`
}

// SchemaName names the stored and sent form; it must never change.
func (record) SchemaName() string { return "record_25" }

// Acceptor is one voter: what it promised and accepted for each key.
type Acceptor struct {
	// Monitor may be left out; it is set before the first call.
	Monitor     *invariant.Monitor
	mu          sync.Mutex
	store       Store
	address     ids.Address
	incarnation ids.Incarnation
	identified  bool
	// slots is what memory holds, kept what of it the disk is known to have.
	slots   map[string]Slot
	durable map[string]Slot
	voters  VoterSet
	// leaving says that the voter gives its seat away.
	leaving bool
}

// NewAcceptor makes a voter from the records of its journal.
func NewAcceptor(address ids.Address, records [][]byte) (*Acceptor, error) {
	made := &Acceptor{address: address, slots: map[string]Slot{}, durable: map[string]Slot{}}
	for _, body := range records {
		kept, err := transport.Unmarshal[record](body)
		if err != nil {
			return nil, err
		}
		if kept.Identity {
			made.incarnation, made.identified = kept.Incarnation, true
			continue
		}
		made.slots[kept.Slot.Key] = mergeSlots(made.slots[kept.Slot.Key], kept.Slot)
		made.durable[kept.Slot.Key] = made.slots[kept.Slot.Key]
	}
	made.refreshVoters()
	return made, nil
}

// Attach gives the voter its store; a voter without one answers nothing.
func (a *Acceptor) Attach(store Store) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.store = store
}

// Snapshot gives records that stand for all that the voter holds.
func (a *Acceptor) Snapshot() [][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	var records [][]byte
	if a.identified {
		records = append(records, encode(record{Identity: true, Incarnation: a.incarnation}))
	}
	for _, slot := range sortedSlots(a.slots) {
		records = append(records, encode(record{Slot: slot}))
	}
	return records
}

// Identify gives a new disk its incarnation.
func (a *Acceptor) Identify(incarnation ids.Incarnation) error {
	a.mu.Lock()
	a.incarnation, a.identified = incarnation, true
	store := a.store
	a.mu.Unlock()
	return store.Save(encode(record{Identity: true, Incarnation: incarnation}))
}

// Bootstrap plants the first voters; only a disk that holds none takes them.
func (a *Acceptor) Bootstrap(voters VoterSet) error {
	a.mu.Lock()
	if len(a.slots) > 0 {
		a.mu.Unlock()
		return nil
	}
	slot := Slot{Key: VotersKey, Accepted: Proposal{Sequence: 1, Value: encode(voters)}}
	a.slots[VotersKey] = slot
	a.identified = true
	a.refreshVoters()
	store := a.store
	a.mu.Unlock()
	if err := store.Save(encode(record{Identity: true, Incarnation: a.incarnation})); err != nil {
		return err
	}
	return a.persist(VotersKey)
}

// Prepare answers a taker of a key.
func (a *Acceptor) Prepare(asked PrepareRequest) PrepareResponse {
	a.mu.Lock()
	slot := a.slotOf(asked.Key)
	told := PrepareResponse{Verdict: a.checkFence(asked.Fence, asked.Key), Generation: a.voters.Generation, Slot: slot}
	if told.Verdict == Granted && asked.Epoch.Compare(slot.Promised) <= 0 {
		told.Verdict = Superseded
	}
	if told.Verdict != Granted {
		a.mu.Unlock()
		return told
	}
	slot.Promised = asked.Epoch
	a.setSlot(slot)
	a.mu.Unlock()
	told.Slot, told.Verdict = slot, a.grantDurably(asked.Key)
	return told
}

// Accept answers an owner's write.
func (a *Acceptor) Accept(asked AcceptRequest) AcceptResponse {
	a.mu.Lock()
	told := AcceptResponse{Verdict: a.checkFence(asked.Fence, asked.Key)}
	slot := a.slotOf(asked.Key)
	if told.Verdict == Granted && asked.Proposal.Epoch.Compare(slot.Promised) < 0 {
		told.Verdict = Superseded
	}
	if told.Verdict == Granted && slot.Accepted.newerThan(asked.Proposal) {
		told.Verdict = Superseded
	}
	told.Promised, told.Generation = slot.Promised, a.voters.Generation
	if told.Verdict != Granted {
		a.mu.Unlock()
		return told
	}
	slot.Promised, slot.Accepted = asked.Proposal.Epoch, asked.Proposal
	a.setSlot(slot)
	a.refreshVoters()
	told.Generation = a.voters.Generation
	a.mu.Unlock()
	told.Verdict = a.grantDurably(asked.Key)
	return told
}

// Confirm tells whether the epoch is still the newest that the voter knows.
func (a *Acceptor) Confirm(asked ConfirmRequest) AcceptResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	slot := a.slotOf(asked.Key)
	told := AcceptResponse{Verdict: a.checkFence(asked.Fence, asked.Key), Promised: slot.Promised, Generation: a.voters.Generation}
	if told.Verdict == Granted && slot.Promised.Compare(asked.Epoch) != 0 {
		told.Verdict = Superseded
	}
	return told
}

// Slot gives what the voter holds for a key.
func (a *Acceptor) Slot(key string) Slot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.slotOf(key)
}

func (a *Acceptor) slotOf(key string) Slot {
	slot := a.slots[key]
	slot.Key = key
	return slot
}

// setSlot puts a slot in place of the one before, whose promise it may not lower.
func (a *Acceptor) setSlot(slot Slot) {
	if before := a.slots[slot.Key].Promised; slot.Promised.Compare(before) < 0 {
		a.Monitor.Violated(invariant.PromiseRises, "key %s: promised %v after %v", slot.Key, slot.Promised, before)
	}
	a.slots[slot.Key] = slot
}

func sortedSlots(slots map[string]Slot) []Slot {
	found := make([]Slot, 0, len(slots))
	for _, slot := range slots {
		found = append(found, slot)
	}
	slices.SortFunc(found, func(left, right Slot) int { return strings.Compare(left.Key, right.Key) })
	return found
}
