package register

import (
	"errors"
	"testing"

	"onyxwell/base/ids"
)

// scriptedStore is a Store each of whose saves first calls the next function of
// saves and fails if that does. Once none is left, all saves succeed.
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

func failSave() error { return errors.New("the save failed") }

// reopen returns the acceptor that a restarted process restores from the store.
func (s *scriptedStore) reopen(t *testing.T) *Acceptor {
	t.Helper()
	acceptor, err := NewAcceptor("a", s.records)
	if err != nil {
		t.Fatal(err)
	}
	return acceptor
}

// newBootstrappedAcceptor returns the acceptor of one of three voters, its store
// and the voter set.
func newBootstrappedAcceptor(t *testing.T) (*Acceptor, *scriptedStore, VoterSet) {
	t.Helper()
	acceptor, err := NewAcceptor("a", nil)
	store := &scriptedStore{}
	acceptor.Attach(store)
	voters := VoterSet{Generation: 1, Members: []Member{{Address: "a"}, {Address: "b"}, {Address: "c"}}}
	if err = errors.Join(err, acceptor.Bootstrap(voters)); err != nil {
		t.Fatal(err)
	}
	return acceptor, store, voters
}

// TestLearn_acknowledgedOnlyOnceDurable fails the save of learned slots: Learn must
// return an error, and a second call must save the slots although they are already
// in memory, since a member asks for its vote once Learn has succeeded.
func TestLearn_acknowledgedOnlyOnceDurable(t *testing.T) {
	acceptor, store, _ := newBootstrappedAcceptor(t)
	slots := []Slot{{Key: "spec", Accepted: Proposal{Epoch: ids.Epoch{Number: 3}, Sequence: 1, Value: []byte("v")}}}
	store.saves = []func() error{failSave}
	if acceptor.Learn(slots) == nil {
		t.Fatal("Learn succeeded though the save failed")
	}
	if err := acceptor.Learn(slots); err != nil {
		t.Fatal(err)
	}
	if held := store.reopen(t).Slot("spec").Accepted; string(held.Value) != "v" {
		t.Fatalf("Learn succeeded, but the store holds %+v", held)
	}
}

// TestFetch_returnsOnlyDurableState fetches during the save of a newer voter set:
// a joining controller that learns from this voter must not conclude that it fences
// off the older generation, since after a crash it would not.
func TestFetch_returnsOnlyDurableState(t *testing.T) {
	acceptor, store, voters := newBootstrappedAcceptor(t)
	next := VoterSet{Generation: 2, Members: []Member{{Address: "a"}, {Address: "b"}, {Address: "d", Incarnation: 9, Learner: true}}}
	var duringSave FetchResponse
	store.saves = []func() error{func() error { duringSave = acceptor.Fetch(FetchRequest{}); return failSave() }}
	value := Proposal{Epoch: ids.Epoch{Number: 1, Owner: "b"}, Sequence: 2, Value: encode(next)}
	if resp := acceptor.Accept(AcceptRequest{Fence: voters.FencingToken(voters.Members[0]), Key: VotersKey, Proposal: value}); resp.Verdict != Failed {
		t.Fatalf("Accept returned verdict %d though the save failed, want Failed", resp.Verdict)
	}
	for _, resp := range []FetchResponse{duringSave, acceptor.Fetch(FetchRequest{})} {
		if resp.Fingerprint != voters.Fingerprint() || resp.Slots[0].Accepted.Sequence != 1 {
			t.Fatalf("Fetch returned %+v, which is not durable", resp)
		}
	}
	// A vote under the newer voter set makes that durable too.
	req := PrepareRequest{Fence: next.FencingToken(next.Members[0]), Key: "spec", Epoch: ids.Epoch{Number: 1, Owner: "b"}}
	if resp := acceptor.Prepare(req); resp.Verdict != Granted {
		t.Fatalf("Prepare returned verdict %d, want Granted", resp.Verdict)
	}
	if reopened := store.reopen(t).Voters(); reopened.Generation != 2 {
		t.Fatalf("the vote is durable, but the generation %d under which it was given is not", next.Generation)
	}
}

// TestNewAcceptor_namesUndecodableRecord appends a record with another schema to
// valid ones.
func TestNewAcceptor_namesUndecodableRecord(t *testing.T) {
	_, store, voters := newBootstrappedAcceptor(t)
	_, err := NewAcceptor("a", append(store.records, encode(voters)))
	var recordErr *RecordError
	if !errors.As(err, &recordErr) || recordErr.Index != len(store.records) || recordErr.Count != len(store.records)+1 || recordErr.Err == nil {
		t.Fatalf("error %v does not name the last record", err)
	}
}
