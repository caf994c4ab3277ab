package register

import (
	"reflect"
	"testing"

	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// requireRoundTrip fails the test unless a message is the same after encoding and
// decoding.
func requireRoundTrip[Message any](t *testing.T, message Message) {
	t.Helper()
	body, err := transport.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := transport.Unmarshal[Message](body); err != nil || !reflect.DeepEqual(decoded, message) {
		t.Fatalf("%+v was decoded as %+v, error %v", message, decoded, err)
	}
}

// TestMessages_roundTrip encodes and decodes each message and the stored record.
func TestMessages_roundTrip(t *testing.T) {
	epoch := ids.Epoch{Number: 3, Owner: "a"}
	fence := FencingToken{Generation: 2, Fingerprint: -7, Incarnation: 9}
	slot := Slot{Key: "spec", Promised: epoch, Accepted: Proposal{Epoch: epoch, Sequence: 4, Value: []byte("v")}}
	requireRoundTrip(t, PrepareRequest{Fence: fence, Key: "spec", Epoch: epoch})
	requireRoundTrip(t, PrepareResponse{Verdict: Superseded, Generation: 2, Slot: slot})
	requireRoundTrip(t, AcceptRequest{Fence: fence, Key: "spec", Proposal: slot.Accepted})
	requireRoundTrip(t, AcceptResponse{Verdict: Fenced, Generation: 2, Promised: epoch})
	requireRoundTrip(t, ConfirmRequest{Fence: fence, Key: "spec", Epoch: epoch})
	requireRoundTrip(t, FetchRequest{Key: "spec"})
	requireRoundTrip(t, FetchResponse{Incarnation: 9, Generation: 2, Fingerprint: -7, Voting: true, Slots: []Slot{slot}})
	requireRoundTrip(t, DigestRequest{})
	requireRoundTrip(t, DigestResponse{Incarnation: 9, Generation: 2, Fingerprint: -7, Voting: true, Unreachable: []ids.Address{"b"}, Keys: []KeyDigest{{Key: "spec", Promised: epoch, Epoch: epoch, Sequence: 4}}})
	requireRoundTrip(t, VoterSet{Generation: 2, Members: []Member{{Address: "a", Incarnation: 9, Learner: true}}})
	requireRoundTrip(t, record{Identity: true, Incarnation: 9, Slot: slot})
}
