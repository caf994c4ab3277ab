package desk

import (
	"testing"

	"onyxwell/control/courier/formtest"
)

// TestForms_keepTheirBytes covers each struct of this package that is stored or
// sent: the golden files were written by the build before its forms had names.
func TestForms_keepTheirBytes(t *testing.T) {
	formtest.Golden[EpochKept](t, "epoch_kept")
	formtest.Golden[Order](t, "order")
	formtest.Golden[Outcome](t, "outcome")
}
