package register

import (
	"errors"
	"testing"

	"onyxwell/base/ids"
)

// scriptedStore is a store whose saves do as they are told, in turn; after the last
// they succeed.
type scriptedStore struct {
	records [][]byte
	saves   []func() error
}

func (s *scriptedStore) Save(record []byte) error {
	if len(s.saves) > 0 {
		next := s.saves[0]
		s.saves = s.saves[1:]
		if err := next(); err != nil {
			return err
		}
	}
	s.records = append(s.records, record)
	return nil
}

func failSave() error { return errors.New("the disk refuses") }

// reopen reads the disk as the next life of the program would.
func (s *scriptedStore) reopen(t *testing.T) *Acceptor {
	t.Helper()
	voter, err := NewAcceptor("a", s.records)
	if err != nil {
		t.Fatal(err)
	}
	return voter
}

func newBootstrappedAcceptor(t *testing.T) (*Acceptor, *scriptedStore, VoterSet) {
	t.Helper()
	voter, err := NewAcceptor("a", nil)
	store := &scriptedStore{}
	voter.Attach(store)
	voters := VoterSet{Generation: 1, Members: []Member{{Address: "a"}, {Address: "b"}, {Address: "c"}}}
	if err = errors.Join(err, voter.Bootstrap(voters)); err != nil {
		t.Fatal(err)
	}
	return voter, store, voters
}

// TestLearn_acknowledgedOnlyOnceDurable has the disk refuse what is learnt: learning
// the same again must save it, for the seat's vote is asked for after it.
func TestLearn_acknowledgedOnlyOnceDurable(t *testing.T) {
	voter, store, _ := newBootstrappedAcceptor(t)
	slots := []Slot{{Key: "spec", Accepted: Proposal{Epoch: ids.Epoch{Number: 3}, Sequence: 1, Value: []byte("v")}}}
	store.saves = []func() error{failSave}
	if voter.Learn(slots) == nil {
		t.Fatal("learnt though the disk refused")
	}
	if err := voter.Learn(slots); err != nil {
		t.Fatal(err)
	}
	if held := store.reopen(t).Slot("spec").Accepted; string(held.Value) != "v" {
		t.Fatalf("learnt without an error, but the disk holds %+v", held)
	}
}

// TestFetch_returnsOnlyDurableState asks in the middle of a save of newer voters: one
// that learns here must not take this voter for one that fences off the older
// generation, for after a loss of power it would not.
func TestFetch_returnsOnlyDurableState(t *testing.T) {
	voter, store, voters := newBootstrappedAcceptor(t)
	next := VoterSet{Generation: 2, Members: []Member{{Address: "a"}, {Address: "b"}, {Address: "d", Incarnation: 9, Learner: true}}}
	var between FetchResponse
	store.saves = []func() error{func() error { between = voter.Fetch(FetchRequest{}); return failSave() }}
	value := Proposal{Epoch: ids.Epoch{Number: 1, Owner: "b"}, Sequence: 2, Value: encode(next)}
	if told := voter.Accept(AcceptRequest{Fence: voters.FencingToken(voters.Members[0]), Key: VotersKey, Proposal: value}); told.Verdict != Failed {
		t.Fatalf("verdict %d though the disk refused", told.Verdict)
	}
	for _, told := range []FetchResponse{between, voter.Fetch(FetchRequest{})} {
		if told.Fingerprint != voters.Fingerprint() || told.Slots[0].Accepted.Sequence != 1 {
			t.Fatalf("told %+v, which the disk doesn't hold", told)
		}
	}
	// A vote under the newer voters brings them to the disk with it.
	asked := PrepareRequest{Fence: next.FencingToken(next.Members[0]), Key: "spec", Epoch: ids.Epoch{Number: 1, Owner: "b"}}
	if told := voter.Prepare(asked); told.Verdict != Granted {
		t.Fatalf("verdict %d", told.Verdict)
	}
	if known := store.reopen(t).Voters(); known.Generation != 2 {
		t.Fatalf("a vote outlived the generation %d that it was given under", next.Generation)
	}
}
