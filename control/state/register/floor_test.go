package register

import (
	"fmt"
	"testing"

	"onyxwell/base/ids"
)

// newAcceptorWithValueless returns an acceptor that has promised epoch 7 of b for as many
// keys without a proposal, after it was restarted, and its store.
func newAcceptorWithValueless(t *testing.T, count int) (*Acceptor, *scriptedStore, VoterSet) {
	t.Helper()
	acceptor, store, voters := newBootstrappedAcceptor(t)
	for number := range count {
		key := fmt.Sprintf("rollout/none-%d", number)
		if resp := acceptor.Prepare(PrepareRequest{Fence: fenceOf(voters, "a"), Key: key, Epoch: ids.Epoch{Number: 7, Owner: "b"}}); resp.Verdict != Granted {
			t.Fatalf("prepare of %s: %v", key, resp.Verdict)
		}
	}
	proposal := Proposal{Epoch: ids.Epoch{Number: 2, Owner: "c"}, Sequence: 3, Value: []byte("v")}
	if resp := acceptor.Accept(AcceptRequest{Fence: fenceOf(voters, "a"), Key: "spec", Proposal: proposal}); resp.Verdict != Granted {
		t.Fatalf("accept: %v", resp.Verdict)
	}
	reopened := store.reopen(t)
	reopened.Attach(store)
	return reopened, store, voters
}

func fenceOf(voters VoterSet, address ids.Address) FencingToken {
	member, _ := voters.member(address)
	return voters.FencingToken(member)
}

// TestNewAcceptor_dropsValuelessSlots guards against logs that stay full of keys that
// callers made up: those that the build before left are dropped at a start, and a snapshot
// has them no more. No promise may be broken for it.
func TestNewAcceptor_dropsValuelessSlots(t *testing.T) {
	acceptor, store, voters := newAcceptorWithValueless(t, 10*maxValuelessSlots)
	for round, start := range []string{"first start", "start on the snapshot"} {
		// The slots of the voters, of spec and of the floor are left.
		if got := len(acceptor.Fetch(FetchRequest{}).Slots); got != 3+round {
			t.Errorf("%s: %d slots, want %d", start, got, 3+round)
		}
		if got := acceptor.Slot("spec").Accepted; string(got.Value) != "v" || got.Sequence != 3 {
			t.Errorf("%s: proposal %+v, want the one that was accepted", start, got)
		}
		if owner := acceptor.Slot("rollout/none-5").Promised.Owner; owner != "" {
			t.Errorf("%s: %s owns a key that was dropped", start, owner)
		}
		old := PrepareRequest{Fence: fenceOf(voters, "a"), Key: "rollout/none-5", Epoch: ids.Epoch{Number: 7, Owner: "z"}}
		if resp := acceptor.Prepare(old); resp.Verdict != Superseded {
			t.Errorf("%s: an epoch as low as one promised is %v, want superseded", start, resp.Verdict)
		}
		late := AcceptRequest{Fence: old.Fence, Key: "rollout/none-6", Proposal: Proposal{Epoch: ids.Epoch{Number: 6, Owner: "c"}, Sequence: 1, Value: []byte("late")}}
		if resp := acceptor.Accept(late); resp.Verdict != Superseded || resp.Promised.Number < 7 {
			t.Errorf("%s: a late proposal is %v, promised %v, want superseded", start, resp.Verdict, resp.Promised)
		}
		next := PrepareRequest{Fence: old.Fence, Key: fmt.Sprintf("rollout/next-%d", round), Epoch: ids.Epoch{Number: 9, Owner: "b"}}
		if resp := acceptor.Prepare(next); resp.Verdict != Granted {
			t.Errorf("%s: a higher epoch is %v, want granted", start, resp.Verdict)
		}
		store.records = acceptor.Snapshot()
		acceptor = store.reopen(t)
		acceptor.Attach(store)
	}
}

// TestNewAcceptor_keepsFewValuelessSlots restarts an acceptor with as many slots without a
// proposal as are kept: nothing changes.
func TestNewAcceptor_keepsFewValuelessSlots(t *testing.T) {
	acceptor, _, _ := newAcceptorWithValueless(t, maxValuelessSlots)
	if got := len(acceptor.Fetch(FetchRequest{}).Slots); got != maxValuelessSlots+2 {
		t.Errorf("%d slots, want %d", got, maxValuelessSlots+2)
	}
	if got := acceptor.Slot("rollout/none-5").Promised; got != (ids.Epoch{Number: 7, Owner: "b"}) {
		t.Errorf("promised %v, want epoch 7 of b", got)
	}
	if got := acceptor.Slot("rollout/other").Promised; got != (ids.Epoch{}) {
		t.Errorf("promised %v for a key that nobody asked for, want none", got)
	}
}
