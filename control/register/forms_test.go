package register

import (
	"testing"

	"onyxwell/control/courier/formtest"
)

// TestForms_keepTheirBytes covers each struct of this package that is stored or
// sent: the golden files were written by the build before its forms had names.
func TestForms_keepTheirBytes(t *testing.T) {
	formtest.Golden[AcceptAsk](t, "accept_ask")
	formtest.Golden[AcceptTold](t, "accept_told")
	formtest.Golden[Accepted](t, "accepted")
	formtest.Golden[ConfirmAsk](t, "confirm_ask")
	formtest.Golden[CopyAsk](t, "copy_ask")
	formtest.Golden[CopyTold](t, "copy_told")
	formtest.Golden[Fence](t, "fence")
	formtest.Golden[Held](t, "held")
	formtest.Golden[HeldAsk](t, "held_ask")
	formtest.Golden[HeldTold](t, "held_told")
	formtest.Golden[PromiseAsk](t, "promise_ask")
	formtest.Golden[PromiseTold](t, "promise_told")
	formtest.Golden[Seat](t, "seat")
	formtest.Golden[Slot](t, "slot")
	formtest.Golden[Voters](t, "voters")
	formtest.Golden[record](t, "record")
}
