package spread

import (
	"testing"

	"onyxwell/control/courier/formtest"
)

// TestForms_keepTheirBytes covers each struct of this package that is stored or
// sent: the golden files were written by the build before its forms had names.
func TestForms_keepTheirBytes(t *testing.T) {
	formtest.Golden[Duty](t, "duty")
	formtest.Golden[ExchangeAsk](t, "exchange_ask")
	formtest.Golden[ExchangeTold](t, "exchange_told")
	formtest.Golden[GiveAsk](t, "give_ask")
	formtest.Golden[GiveTold](t, "give_told")
	formtest.Golden[Item](t, "item")
	formtest.Golden[Mark](t, "mark")
	formtest.Golden[PushAsk](t, "push_ask")
	formtest.Golden[PushTold](t, "push_told")
}
