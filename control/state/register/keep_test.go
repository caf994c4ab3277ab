package register

import (
	"errors"
	"testing"

	"onyxwell/base/ids"
)

// script is a store whose saves do as they are told, in turn; after the last
// they succeed.
type script struct {
	records [][]byte
	saves   []func() error
}

func (s *script) Save(record []byte) error {
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

func refuse() error { return errors.New("the disk refuses") }

// again reads the disk as the next life of the program would.
func (s *script) again(t *testing.T) *Acceptor {
	t.Helper()
	voter, err := NewAcceptor("a", s.records)
	if err != nil {
		t.Fatal(err)
	}
	return voter
}

func formed(t *testing.T) (*Acceptor, *script, Voters) {
	t.Helper()
	voter, err := NewAcceptor("a", nil)
	store := &script{}
	voter.Attach(store)
	voters := Voters{Generation: 1, Seats: []Seat{{Address: "a"}, {Address: "b"}, {Address: "c"}}}
	if err = errors.Join(err, voter.Form(voters)); err != nil {
		t.Fatal(err)
	}
	return voter, store, voters
}

// TestLearntOnlyOnceTheDiskHasIt has the disk refuse what is learnt: learning
// the same again must save it, for the seat's vote is asked for after it.
func TestLearntOnlyOnceTheDiskHasIt(t *testing.T) {
	voter, store, _ := formed(t)
	slots := []Slot{{Key: "spec", Accepted: Accepted{Epoch: ids.Epoch{Number: 3}, Sequence: 1, Value: []byte("v")}}}
	store.saves = []func() error{refuse}
	if voter.Learn(slots) == nil {
		t.Fatal("learnt though the disk refused")
	}
	if err := voter.Learn(slots); err != nil {
		t.Fatal(err)
	}
	if held := store.again(t).Slot("spec").Accepted; string(held.Value) != "v" {
		t.Fatalf("learnt without an error, but the disk holds %+v", held)
	}
}

// TestCopyTellsOnlyTheDisk asks in the middle of a save of newer voters: one
// that learns here must not take this voter for one that fences off the older
// generation, for after a loss of power it would not.
func TestCopyTellsOnlyTheDisk(t *testing.T) {
	voter, store, voters := formed(t)
	next := Voters{Generation: 2, Seats: []Seat{{Address: "a"}, {Address: "b"}, {Address: "d", Incarnation: 9, Learning: true}}}
	var between CopyTold
	store.saves = []func() error{func() error { between = voter.Copy(CopyAsk{}); return refuse() }}
	value := Accepted{Epoch: ids.Epoch{Number: 1, Owner: "b"}, Sequence: 2, Value: pack(next)}
	if told := voter.Accept(AcceptAsk{Fence: voters.Fence(voters.Seats[0]), Key: CohortKey, Accepted: value}); told.Verdict != Broken {
		t.Fatalf("verdict %d though the disk refused", told.Verdict)
	}
	for _, told := range []CopyTold{between, voter.Copy(CopyAsk{})} {
		if told.Mark != voters.Mark() || told.Slots[0].Accepted.Sequence != 1 {
			t.Fatalf("told %+v, which the disk doesn't hold", told)
		}
	}
	// A vote under the newer voters brings them to the disk with it.
	asked := PromiseAsk{Fence: next.Fence(next.Seats[0]), Key: "spec", Epoch: ids.Epoch{Number: 1, Owner: "b"}}
	if told := voter.Promise(asked); told.Verdict != Granted {
		t.Fatalf("verdict %d", told.Verdict)
	}
	if known := store.again(t).Voters(); known.Generation != 2 {
		t.Fatalf("a vote outlived the generation %d that it was given under", next.Generation)
	}
}
