package register

import (
	"reflect"
	"testing"

	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

func travels[Message any](t *testing.T, message Message) {
	t.Helper()
	body, err := transport.Pack(message)
	if err != nil {
		t.Fatal(err)
	}
	if read, err := transport.Unpack[Message](body); err != nil || !reflect.DeepEqual(read, message) {
		t.Fatalf("%+v came as %+v, %v", message, read, err)
	}
}

// TestMessagesTravel packs and reads each message and record.
func TestMessagesTravel(t *testing.T) {
	epoch := ids.Epoch{Number: 3, Owner: "a"}
	fence := Fence{Generation: 2, Mark: -7, Incarnation: 9}
	slot := Slot{Key: "spec", Promised: epoch, Accepted: Accepted{Epoch: epoch, Sequence: 4, Value: []byte("v")}}
	travels(t, PromiseAsk{Fence: fence, Key: "spec", Epoch: epoch})
	travels(t, PromiseTold{Verdict: Outbid, Generation: 2, Slot: slot})
	travels(t, AcceptAsk{Fence: fence, Key: "spec", Accepted: slot.Accepted})
	travels(t, AcceptTold{Verdict: Misfenced, Generation: 2, Promised: epoch})
	travels(t, ConfirmAsk{Fence: fence, Key: "spec", Epoch: epoch})
	travels(t, CopyAsk{Key: "spec"})
	travels(t, CopyTold{Incarnation: 9, Generation: 2, Mark: -7, Voting: true, Slots: []Slot{slot}})
	travels(t, HeldAsk{})
	travels(t, HeldTold{Incarnation: 9, Generation: 2, Mark: -7, Voting: true, Away: []ids.Address{"b"}, Keys: []Held{{Key: "spec", Promised: epoch, Epoch: epoch, Sequence: 4}}})
	travels(t, Voters{Generation: 2, Seats: []Seat{{Address: "a", Incarnation: 9, Learning: true}}})
	travels(t, record{Identity: true, Incarnation: 9, Slot: slot})
}
