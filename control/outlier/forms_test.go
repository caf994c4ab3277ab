package outlier

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes covers each struct of this package that is stored or
// sent: the golden files were written by the build before its forms had names.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[Ejection](t, "rest")
	transporttest.Golden[Ejections](t, "rests")
}
