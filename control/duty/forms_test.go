package duty

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes checks the encoding of every struct of this package that is stored
// or sent. The golden files contain the bytes that other builds store or send and must never
// be edited.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[Assignment](t, "assignment")
	transporttest.Golden[SessionRequest](t, "session-request")
	transporttest.Golden[SessionResponse](t, "session-response")
	transporttest.Golden[Overview](t, "overview")
	transporttest.Golden[HandOverRequest](t, "hand-over-request")
	transporttest.Golden[HandOverResponse](t, "hand-over-response")
}
