package lengthstats

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes covers each struct of this package that is stored or
// sent: the golden files were written by the build before its forms had names.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[Expected](t, "expected")
	transporttest.Golden[Key](t, "kind")
	transporttest.Golden[Split](t, "split")
	transporttest.Golden[Totals](t, "sum")
}
