package lengthstats

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes checks the encoding of each struct of this package that is
// stored or sent against a golden file. The golden files hold the bytes that other
// builds store or send, and must never be edited.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[Expected](t, "expected")
	transporttest.Golden[Key](t, "kind")
	transporttest.Golden[Split](t, "split")
	transporttest.Golden[Totals](t, "sum")
}
