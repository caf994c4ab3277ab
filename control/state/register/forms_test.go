package register

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes covers each struct of this package that is stored or
// sent: the golden files were written by the build before its forms had names.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[AcceptAsk](t, "accept_ask")
	transporttest.Golden[AcceptTold](t, "accept_told")
	transporttest.Golden[Accepted](t, "accepted")
	transporttest.Golden[ConfirmAsk](t, "confirm_ask")
	transporttest.Golden[CopyAsk](t, "copy_ask")
	transporttest.Golden[CopyTold](t, "copy_told")
	transporttest.Golden[Fence](t, "fence")
	transporttest.Golden[Held](t, "held")
	transporttest.Golden[HeldAsk](t, "held_ask")
	transporttest.Golden[HeldTold](t, "held_told")
	transporttest.Golden[PromiseAsk](t, "promise_ask")
	transporttest.Golden[PromiseTold](t, "promise_told")
	transporttest.Golden[Seat](t, "seat")
	transporttest.Golden[Slot](t, "slot")
	transporttest.Golden[Voters](t, "voters")
	transporttest.Golden[record](t, "record")
}
