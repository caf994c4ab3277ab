package gossip

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes checks the encoding of each struct of this package that is
// stored or sent. The golden files hold the bytes that other builds store or send: never
// edit one.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[Targets](t, "duty")
	transporttest.Golden[ExchangeRequest](t, "exchange_ask")
	transporttest.Golden[ExchangeResponse](t, "exchange_told")
	transporttest.Golden[GiveRequest](t, "give_ask")
	transporttest.Golden[GiveResponse](t, "give_told")
	transporttest.Golden[Item](t, "item")
	transporttest.Golden[ItemVersion](t, "mark")
	transporttest.Golden[PushRequest](t, "push_ask")
	transporttest.Golden[PushResponse](t, "push_told")
}
