package register

import (
	"errors"
	"testing"

	"onyxwell/base/ids"
)

// scriptedStore is a store whose saves run the functions in turn; after the
// last all succeed.
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

// reopen returns the acceptor of the next process on the store.
func (s *scriptedStore) reopen(t *testing.T) *Acceptor {
	t.Helper()
	acceptor, err := NewAcceptor("a", s.records)
	if err != nil {
		t.Fatal(err)
	}
	return acceptor
}

// newBootstrappedAcceptor returns one of three voters, its store and the
// voter set.
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

// TestLearn_acknowledgedOnlyOnceDurable has the disk refuse what is learned:
// learning the same again must save it, for the member's vote is asked for
// after it.
func TestLearn_acknowledgedOnlyOnceDurable(t *testing.T) {
	acceptor, store, _ := newBootstrappedAcceptor(t)
	slots := []Slot{{Key: "spec", Accepted: Proposal{Epoch: ids.Epoch{Number: 3}, Sequence: 1, Value: []byte("v")}}}
	store.saves = []func() error{failSave}
	if acceptor.Learn(slots) == nil {
		t.Fatal("learned though the save failed")
	}
	if err := acceptor.Learn(slots); err != nil {
		t.Fatal(err)
	}
	if held := store.reopen(t).Slot("spec").Accepted; string(held.Value) != "v" {
		t.Fatalf("learned without an error, but the disk holds %+v", held)
	}
}

// TestFetch_returnsOnlyDurableState fetches in the middle of a save of a
// newer voter set: a newcomer that learns here must not take this voter for
// one that fences off the older generation, for after a crash it would not.
func TestFetch_returnsOnlyDurableState(t *testing.T) {
	acceptor, store, voters := newBootstrappedAcceptor(t)
	next := VoterSet{Generation: 2, Members: []Member{{Address: "a"}, {Address: "b"}, {Address: "d", Incarnation: 9, Learner: true}}}
	var duringSave FetchResponse
	store.saves = []func() error{func() error { duringSave = acceptor.Fetch(FetchRequest{}); return failSave() }}
	value := Proposal{Epoch: ids.Epoch{Number: 1, Owner: "b"}, Sequence: 2, Value: encode(next)}
	if resp := acceptor.Accept(AcceptRequest{Fence: voters.FencingToken(voters.Members[0]), Key: VotersKey, Proposal: value}); resp.Verdict != Failed {
		t.Fatalf("verdict %d though the save failed", resp.Verdict)
	}
	for _, resp := range []FetchResponse{duringSave, acceptor.Fetch(FetchRequest{})} {
		if resp.Fingerprint != voters.Fingerprint() || resp.Slots[0].Accepted.Sequence != 1 {
			t.Fatalf("fetched %+v, which is not durable", resp)
		}
	}
	// A vote under the newer voter set makes that durable too.
	req := PrepareRequest{Fence: next.FencingToken(next.Members[0]), Key: "spec", Epoch: ids.Epoch{Number: 1, Owner: "b"}}
	if resp := acceptor.Prepare(req); resp.Verdict != Granted {
		t.Fatalf("verdict %d", resp.Verdict)
	}
	if reopened := store.reopen(t).Voters(); reopened.Generation != 2 {
		t.Fatalf("a vote outlived the generation %d that it was given under", next.Generation)
	}
}

// TestNewAcceptor_namesUndecodableRecord reads a record of another form behind a
// good one.
func TestNewAcceptor_namesUndecodableRecord(t *testing.T) {
	_, store, voters := newBootstrappedAcceptor(t)
	_, err := NewAcceptor("a", append(store.records, encode(voters)))
	var recordErr *RecordError
	if !errors.As(err, &recordErr) || recordErr.Index != len(store.records) || recordErr.Count != len(store.records)+1 || recordErr.Err == nil {
		t.Fatalf("%v", err)
	}
}
