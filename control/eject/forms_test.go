package eject

import (
	"testing"

	"onyxwell/control/courier/formtest"
)

// TestForms_keepTheirBytes covers each struct of this package that is stored or
// sent: the golden files were written by the build before its forms had names.
func TestForms_keepTheirBytes(t *testing.T) {
	formtest.Golden[Rest](t, "rest")
	formtest.Golden[Rests](t, "rests")
}
