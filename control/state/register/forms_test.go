package register

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes compares the encoding of each type that this package
// stores or sends with a golden file. The files hold what other builds store and
// send, so they must never be edited.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[AcceptRequest](t, "accept_ask")
	transporttest.Golden[AcceptResponse](t, "accept_told")
	transporttest.Golden[Proposal](t, "accepted")
	transporttest.Golden[ConfirmRequest](t, "confirm_ask")
	transporttest.Golden[FetchRequest](t, "copy_ask")
	transporttest.Golden[FetchResponse](t, "copy_told")
	transporttest.Golden[FencingToken](t, "fence")
	transporttest.Golden[KeyDigest](t, "held")
	transporttest.Golden[DigestRequest](t, "held_ask")
	transporttest.Golden[DigestResponse](t, "held_told")
	transporttest.Golden[PrepareRequest](t, "promise_ask")
	transporttest.Golden[PrepareResponse](t, "promise_told")
	transporttest.Golden[Member](t, "seat")
	transporttest.Golden[Slot](t, "slot")
	transporttest.Golden[VoterSet](t, "voters")
	transporttest.Golden[record](t, "record")
}
