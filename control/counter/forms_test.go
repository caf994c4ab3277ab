package counter

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes checks the encoding of each struct of this package that is stored
// or sent. The golden files hold the bytes that other builds wrote: never edit one.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[ExchangeRequest](t, "exchange-request")
	transporttest.Golden[ExchangeResponse](t, "exchange-response")
	transporttest.Golden[storedRecord](t, "stored-record")
}
