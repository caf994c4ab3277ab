package rollout

import (
	"testing"

	"onyxwell/base/proptest"
	"onyxwell/control/transport/transporttest"
)

func TestMain(m *testing.M) { proptest.Run(m) }

// TestForms_keepTheirBytes covers each struct of this package that is stored or sent. The
// golden files hold the bytes that other builds store or send and must never be edited.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[Record](t, "record")
	transporttest.Golden[StableRecord](t, "stable_record")
	transporttest.Golden[Evidence](t, "evidence")
	transporttest.Golden[ExchangeRequest](t, "exchange_request")
	transporttest.Golden[ExchangeResponse](t, "exchange_response")
	transporttest.Golden[DirectorItem](t, "director_item")
	transporttest.Golden[OrderRequest](t, "order_request")
}
