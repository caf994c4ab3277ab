package evacuation

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes covers each struct of this package that is stored or
// sent. The golden files hold the bytes that other builds store or send: never
// edit one.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[State](t, "kept")
}
