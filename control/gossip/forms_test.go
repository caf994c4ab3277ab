package gossip

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes covers each struct of this package that is stored or
// sent: the golden files were written by the build before its forms had names.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[Duty](t, "duty")
	transporttest.Golden[ExchangeAsk](t, "exchange_ask")
	transporttest.Golden[ExchangeTold](t, "exchange_told")
	transporttest.Golden[GiveAsk](t, "give_ask")
	transporttest.Golden[GiveTold](t, "give_told")
	transporttest.Golden[Item](t, "item")
	transporttest.Golden[Mark](t, "mark")
	transporttest.Golden[PushAsk](t, "push_ask")
	transporttest.Golden[PushTold](t, "push_told")
}
