package zonesummary

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes checks the encoding of each struct of this package that is
// stored or sent. The golden files hold the bytes that other builds store or send: never
// edit one.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[RouterEndpoints](t, "fronts")
	transporttest.Golden[LostZones](t, "lost")
}
