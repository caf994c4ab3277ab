package register

import (
	"slices"
	"strings"
	"sync"

	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/courier"
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
	lock        sync.Mutex
	store       Store
	address     ids.Address
	incarnation ids.Incarnation
	identified  bool
	// slots is what memory holds, kept what of it the disk is known to have.
	slots  map[string]Slot
	kept   map[string]Slot
	voters Voters
	// leaving says that the voter gives its seat away.
	leaving bool
}

// NewAcceptor makes a voter from the records of its journal.
func NewAcceptor(address ids.Address, records [][]byte) (*Acceptor, error) {
	made := &Acceptor{address: address, slots: map[string]Slot{}, kept: map[string]Slot{}}
	for _, body := range records {
		kept, err := courier.Unpack[record](body)
		if err != nil {
			return nil, err
		}
		if kept.Identity {
			made.incarnation, made.identified = kept.Incarnation, true
			continue
		}
		made.slots[kept.Slot.Key] = merge(made.slots[kept.Slot.Key], kept.Slot)
		made.kept[kept.Slot.Key] = made.slots[kept.Slot.Key]
	}
	made.seeVoters()
	return made, nil
}

// Attach gives the voter its store; a voter without one answers nothing.
func (acceptor *Acceptor) Attach(store Store) {
	acceptor.lock.Lock()
	defer acceptor.lock.Unlock()
	acceptor.store = store
}

// Whole gives records that stand for all that the voter holds.
func (acceptor *Acceptor) Whole() [][]byte {
	acceptor.lock.Lock()
	defer acceptor.lock.Unlock()
	var records [][]byte
	if acceptor.identified {
		records = append(records, pack(record{Identity: true, Incarnation: acceptor.incarnation}))
	}
	for _, slot := range sorted(acceptor.slots) {
		records = append(records, pack(record{Slot: slot}))
	}
	return records
}

// Identify gives a new disk its incarnation.
func (acceptor *Acceptor) Identify(incarnation ids.Incarnation) error {
	acceptor.lock.Lock()
	acceptor.incarnation, acceptor.identified = incarnation, true
	store := acceptor.store
	acceptor.lock.Unlock()
	return store.Save(pack(record{Identity: true, Incarnation: incarnation}))
}

// Form plants the first voters; only a disk that holds none takes them.
func (acceptor *Acceptor) Form(voters Voters) error {
	acceptor.lock.Lock()
	if len(acceptor.slots) > 0 {
		acceptor.lock.Unlock()
		return nil
	}
	slot := Slot{Key: CohortKey, Accepted: Accepted{Sequence: 1, Value: pack(voters)}}
	acceptor.slots[CohortKey] = slot
	acceptor.identified = true
	acceptor.seeVoters()
	store := acceptor.store
	acceptor.lock.Unlock()
	if err := store.Save(pack(record{Identity: true, Incarnation: acceptor.incarnation})); err != nil {
		return err
	}
	return acceptor.keep(CohortKey)
}

// Promise answers a taker of a key.
func (acceptor *Acceptor) Promise(asked PromiseAsk) PromiseTold {
	acceptor.lock.Lock()
	slot := acceptor.slot(asked.Key)
	told := PromiseTold{Verdict: acceptor.fenced(asked.Fence, asked.Key), Generation: acceptor.voters.Generation, Slot: slot}
	if told.Verdict == Granted && asked.Epoch.Compare(slot.Promised) <= 0 {
		told.Verdict = Outbid
	}
	if told.Verdict != Granted {
		acceptor.lock.Unlock()
		return told
	}
	slot.Promised = asked.Epoch
	acceptor.set(slot)
	acceptor.lock.Unlock()
	told.Slot, told.Verdict = slot, acceptor.grant(asked.Key)
	return told
}

// Accept answers an owner's write.
func (acceptor *Acceptor) Accept(asked AcceptAsk) AcceptTold {
	acceptor.lock.Lock()
	told := AcceptTold{Verdict: acceptor.fenced(asked.Fence, asked.Key)}
	slot := acceptor.slot(asked.Key)
	if told.Verdict == Granted && asked.Accepted.Epoch.Compare(slot.Promised) < 0 {
		told.Verdict = Outbid
	}
	if told.Verdict == Granted && slot.Accepted.newer(asked.Accepted) {
		told.Verdict = Outbid
	}
	told.Promised, told.Generation = slot.Promised, acceptor.voters.Generation
	if told.Verdict != Granted {
		acceptor.lock.Unlock()
		return told
	}
	slot.Promised, slot.Accepted = asked.Accepted.Epoch, asked.Accepted
	acceptor.set(slot)
	acceptor.seeVoters()
	told.Generation = acceptor.voters.Generation
	acceptor.lock.Unlock()
	told.Verdict = acceptor.grant(asked.Key)
	return told
}

// Confirm tells whether the epoch is still the newest that the voter knows.
func (acceptor *Acceptor) Confirm(asked ConfirmAsk) AcceptTold {
	acceptor.lock.Lock()
	defer acceptor.lock.Unlock()
	slot := acceptor.slot(asked.Key)
	told := AcceptTold{Verdict: acceptor.fenced(asked.Fence, asked.Key), Promised: slot.Promised, Generation: acceptor.voters.Generation}
	if told.Verdict == Granted && slot.Promised.Compare(asked.Epoch) != 0 {
		told.Verdict = Outbid
	}
	return told
}

// Slot gives what the voter holds for a key.
func (acceptor *Acceptor) Slot(key string) Slot {
	acceptor.lock.Lock()
	defer acceptor.lock.Unlock()
	return acceptor.slot(key)
}

func (acceptor *Acceptor) slot(key string) Slot {
	slot := acceptor.slots[key]
	slot.Key = key
	return slot
}

// set puts a slot in place of the one before, whose promise it may not lower.
func (acceptor *Acceptor) set(slot Slot) {
	if before := acceptor.slots[slot.Key].Promised; slot.Promised.Compare(before) < 0 {
		acceptor.Monitor.Violated(invariant.PromiseRises, "key %s: promised %v after %v", slot.Key, slot.Promised, before)
	}
	acceptor.slots[slot.Key] = slot
}

func sorted(slots map[string]Slot) []Slot {
	found := make([]Slot, 0, len(slots))
	for _, slot := range slots {
		found = append(found, slot)
	}
	slices.SortFunc(found, func(left, right Slot) int { return strings.Compare(left.Key, right.Key) })
	return found
}
