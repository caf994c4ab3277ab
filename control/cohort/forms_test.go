package cohort

import (
	"testing"

	"onyxwell/control/courier/formtest"
)

// TestForms_keepTheirBytes covers each struct of this package that is stored or
// sent: the golden files were written by the build before its forms had names.
func TestForms_keepTheirBytes(t *testing.T) {
	formtest.Golden[Datagram](t, "datagram")
	formtest.Golden[Member](t, "member")
	formtest.Golden[Size](t, "size")
	formtest.Golden[Sums](t, "sums")
	formtest.Golden[kept](t, "kept")
}
