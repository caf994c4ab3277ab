package outlier

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes checks that the encoding of each struct of this package
// that is stored or sent does not change. The golden files hold the bytes that other
// builds store or send: never edit one.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[Ejection](t, "rest")
	transporttest.Golden[Ejections](t, "rests")
}
