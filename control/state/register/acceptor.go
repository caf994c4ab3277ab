package register

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"onyxwell/base/ids"
	"onyxwell/base/invariant"
	"onyxwell/control/transport"
)

// Store is an acceptor's durable storage. Save returns once the record is on
// disk; after an error the record may or may not have been written.
type Store interface{ Save(record []byte) error }

// record is the unit of storage: a slot, or the identity of the disk.
type record struct {
	Identity    bool            `avro:"Identity"`
	Incarnation ids.Incarnation `avro:"Incarnation"`
	Slot        Slot            `avro:"Slot"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (record) SchemaName() string { return "record_25" }

// RecordError reports a stored record that this build can't decode. Err names
// the expected schema and the one found. "The file" in its message is the one
// that the records were read from.
type RecordError struct {
	// Index counts the records from 0, of Count.
	Index, Count int
	Err          error
}

// Error names the record, the decoding error and the remedy.
func (r *RecordError) Error() string {
	return fmt.Sprintf("register: stored record %d of %d: %v: start the build that wrote the file", r.Index+1, r.Count, r.Err)
}

// Unwrap returns the decoder's error.
func (r *RecordError) Unwrap() error { return r.Err }

// Acceptor is the voter's side of the protocol: it holds the promised epoch and
// the accepted proposal of each key. It is safe for concurrent use.
type Acceptor struct {
	// Monitor records invariant violations. It may be nil, and must be set before
	// the first method call.
	Monitor *invariant.Monitor

	mu          sync.Mutex
	store       Store
	address     ids.Address
	incarnation ids.Incarnation
	identified  bool
	// slots is the state in memory; durable is the state that the store is known to
	// hold.
	slots   map[string]Slot
	durable map[string]Slot
	voters  VoterSet
	leaving bool
}

// NewAcceptor restores an acceptor from the records of its store. Any error is a
// *RecordError.
func NewAcceptor(address ids.Address, records [][]byte) (*Acceptor, error) {
	return newAcceptor(address, records, maxValuelessSlots)
}

// newAcceptor is NewAcceptor with another limit for slots without a proposal.
func newAcceptor(address ids.Address, records [][]byte, maxValueless int) (*Acceptor, error) {
	a := &Acceptor{address: address, slots: map[string]Slot{}, durable: map[string]Slot{}}
	for index, body := range records {
		stored, err := transport.Unmarshal[record](body)
		if err != nil {
			return nil, &RecordError{Index: index, Count: len(records), Err: err}
		}
		if stored.Identity {
			a.incarnation, a.identified = stored.Incarnation, true
			continue
		}
		key := stored.Slot.Key
		a.slots[key] = mergeSlots(a.slots[key], stored.Slot)
		a.durable[key] = a.slots[key]
	}
	a.dropValueless(maxValueless)
	a.refreshVoters()
	return a, nil
}

// Attach sets the store. Until then Prepare, Accept and Confirm answer Fenced.
func (a *Acceptor) Attach(store Store) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.store = store
}

// Snapshot returns records from which NewAcceptor restores the state in memory.
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

// Identify assigns an incarnation to a new disk and saves it.
func (a *Acceptor) Identify(incarnation ids.Incarnation) error {
	a.mu.Lock()
	a.incarnation, a.identified = incarnation, true
	store := a.store
	a.mu.Unlock()
	return store.Save(encode(record{Identity: true, Incarnation: incarnation}))
}

// Bootstrap stores the initial voter set of a cluster. It does nothing if the
// acceptor holds any slot.
func (a *Acceptor) Bootstrap(voters VoterSet) error {
	a.mu.Lock()
	if len(a.slots) > 0 {
		a.mu.Unlock()
		return nil
	}
	a.slots[VotersKey] = Slot{Key: VotersKey, Accepted: Proposal{Sequence: 1, Value: encode(voters)}}
	a.identified = true
	a.refreshVoters()
	store, identity := a.store, encode(record{Identity: true, Incarnation: a.incarnation})
	a.mu.Unlock()
	if err := store.Save(identity); err != nil {
		return err
	}
	return a.persist(VotersKey)
}

// Prepare handles a proposer's request to own a key: it promises the epoch unless
// it has already promised that epoch or a higher one.
func (a *Acceptor) Prepare(req PrepareRequest) PrepareResponse {
	resp := a.prepareInMemory(req)
	if resp.Verdict == Granted {
		resp.Verdict = a.persistGrant(req.Key)
	}
	return resp
}

func (a *Acceptor) prepareInMemory(req PrepareRequest) PrepareResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	slot := a.slotOf(req.Key)
	verdict := a.checkFence(req.Fence, req.Key)
	if verdict == Granted && req.Epoch.Compare(slot.Promised) <= 0 {
		verdict = Superseded
	}
	if verdict == Granted {
		slot.Promised = req.Epoch
		a.setSlot(slot)
	}
	return PrepareResponse{Verdict: verdict, Generation: a.voters.Generation, Slot: slot}
}

// Accept handles an owner's proposal: it accepts it unless it has promised a
// higher epoch or holds a newer proposal.
func (a *Acceptor) Accept(req AcceptRequest) AcceptResponse {
	resp := a.acceptInMemory(req)
	if resp.Verdict == Granted {
		resp.Verdict = a.persistGrant(req.Key)
	}
	return resp
}

func (a *Acceptor) acceptInMemory(req AcceptRequest) AcceptResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	slot := a.slotOf(req.Key)
	resp := AcceptResponse{Verdict: a.checkFence(req.Fence, req.Key), Promised: slot.Promised}
	if resp.Verdict == Granted && (req.Proposal.Epoch.Compare(slot.Promised) < 0 || slot.Accepted.newerThan(req.Proposal)) {
		resp.Verdict = Superseded
	}
	if resp.Verdict == Granted {
		slot.Promised, slot.Accepted = req.Proposal.Epoch, req.Proposal
		a.setSlot(slot)
		a.refreshVoters()
	}
	resp.Generation = a.voters.Generation
	return resp
}

// Confirm tells an owner whether its epoch is still the highest that this
// acceptor has promised for a key. It changes no state.
func (a *Acceptor) Confirm(req ConfirmRequest) AcceptResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	slot := a.slotOf(req.Key)
	resp := AcceptResponse{Verdict: a.checkFence(req.Fence, req.Key), Promised: slot.Promised, Generation: a.voters.Generation}
	if resp.Verdict == Granted && slot.Promised.Compare(req.Epoch) != 0 {
		resp.Verdict = Superseded
	}
	return resp
}

// Learn merges the slots of other replicas into this one: the newest proposal and
// the highest promised epoch of each key. A voter ignores a proposal older than
// its promise, as if the owner's request had arrived too late; a replica that
// does not vote takes any newer proposal. If the error is nil, all that was
// learned is durable.
func (a *Acceptor) Learn(slots []Slot) error {
	keys := a.learnInMemory(slots)
	return a.persist(keys...)
}

func (a *Acceptor) learnInMemory(slots []Slot) (keys []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, slot := range slots {
		current := a.slotOf(slot.Key)
		next := current
		if slot.Accepted.newerThan(current.Accepted) && (!a.voting() || slot.Accepted.Epoch.Compare(current.Promised) >= 0) {
			next.Accepted = slot.Accepted
		}
		if slot.Promised.Compare(current.Promised) > 0 {
			next.Promised = slot.Promised
		}
		keys = append(keys, slot.Key)
		if !equalSlots(next, current) {
			a.setSlot(next)
		}
	}
	a.refreshVoters()
	return keys
}

// Leave marks the voter as leaving: any joining controller may replace it. It
// continues to vote until it is replaced.
func (a *Acceptor) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaving = true
}

// Slot returns the state of a key in memory.
func (a *Acceptor) Slot(key string) Slot {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.slotOf(key)
}

// Fetch returns durable slots and the durable voter set. State that is not yet
// durable is left out: a replica that learns from this voter relies on it to keep
// fencing off older generations, even after a crash.
func (a *Acceptor) Fetch(req FetchRequest) FetchResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	voters, _ := decodeVoters(a.durable[VotersKey])
	resp := FetchResponse{
		Incarnation: a.incarnation, Generation: voters.Generation,
		Fingerprint: voters.Fingerprint(), Voting: a.votesIn(voters),
	}
	if req.Key == "" {
		resp.Slots = sortedSlots(a.durable)
	} else if slot, ok := a.durable[req.Key]; ok {
		resp.Slots = []Slot{slot}
	}
	return resp
}

// Digest returns the digests of all durable slots.
func (a *Acceptor) Digest() DigestResponse {
	fetched := a.Fetch(FetchRequest{})
	resp := DigestResponse{Incarnation: fetched.Incarnation, Generation: fetched.Generation, Fingerprint: fetched.Fingerprint, Voting: fetched.Voting}
	a.mu.Lock()
	resp.Leaving = a.leaving
	a.mu.Unlock()
	resp.Keys = make([]KeyDigest, 0, len(fetched.Slots))
	for _, slot := range fetched.Slots {
		resp.Keys = append(resp.Keys, KeyDigest{
			Key: slot.Key, Promised: slot.Promised, Epoch: slot.Accepted.Epoch, Sequence: slot.Accepted.Sequence,
		})
	}
	return resp
}

// Voting reports whether this disk votes in the voter set known here.
func (a *Acceptor) Voting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.voting()
}

// Voters returns the newest voter set known here.
func (a *Acceptor) Voters() VoterSet {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.voters
}

// Incarnation identifies the disk.
func (a *Acceptor) Incarnation() ids.Incarnation {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.incarnation
}

// Identified reports whether the disk has an identity. A disk without one counts
// as blank, even if it holds slots.
func (a *Acceptor) Identified() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.identified
}

// The methods below are called with mu held.

// slotOf returns the state of a key. A key without a slot has the promise of FloorKey, but
// for VotersKey, whose slot is never dropped.
func (a *Acceptor) slotOf(key string) Slot {
	slot, ok := a.slots[key]
	if !ok && key != VotersKey {
		slot.Promised = a.slots[FloorKey].Promised
	}
	slot.Key = key
	return slot
}

// setSlot replaces a slot in memory. The promised epoch must not decrease.
func (a *Acceptor) setSlot(slot Slot) {
	if before := a.slots[slot.Key].Promised; slot.Promised.Compare(before) < 0 {
		a.Monitor.Violated(invariant.PromiseRises, "key %s: promised epoch %v is lower than the earlier promise %v", slot.Key, slot.Promised, before)
	}
	a.slots[slot.Key] = slot
}

// refreshVoters updates the cached voter set from its slot.
func (a *Acceptor) refreshVoters() {
	if voters, ok := decodeVoters(a.slots[VotersKey]); ok {
		a.voters = voters
	}
}

// checkFence returns Granted if a request's fencing token is valid, or else
// Fenced. For VotersKey a token of any generation is valid: a change of voters
// needs a quorum of both the old and the new voter set, so its proposer finds the
// newest.
func (a *Acceptor) checkFence(fence FencingToken, key string) Verdict {
	if a.store == nil || !a.voting() || fence.Incarnation != a.incarnation {
		return Fenced
	}
	if key != VotersKey && (fence.Generation != a.voters.Generation || fence.Fingerprint != a.voters.Fingerprint()) {
		return Fenced
	}
	return Granted
}

func (a *Acceptor) voting() bool { return a.votesIn(a.voters) }

func (a *Acceptor) votesIn(voters VoterSet) bool {
	member, ok := voters.member(a.address)
	return ok && a.identified && !member.Learner && member.Incarnation == a.incarnation
}

func sortedSlots(slots map[string]Slot) []Slot {
	sorted := make([]Slot, 0, len(slots))
	for _, slot := range slots {
		sorted = append(sorted, slot)
	}
	slices.SortFunc(sorted, func(left, right Slot) int { return strings.Compare(left.Key, right.Key) })
	return sorted
}
