package quota

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes checks the encoding of each message type of this package. The
// golden files hold the bytes that other builds send and must never be edited.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[AcquireRequest](t, "acquire-request")
	transporttest.Golden[AcquireResponse](t, "acquire-response")
	transporttest.Golden[IssuerItem](t, "issuer")
	transporttest.Golden[AllowanceRequest](t, "allowance-request")
	transporttest.Golden[AllowanceResponse](t, "allowance-response")
}
