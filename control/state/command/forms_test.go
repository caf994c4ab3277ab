package command

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes covers each struct of this package that is stored or
// sent. The golden files hold the bytes that other builds store or send: never
// edit one.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[EpochRecord](t, "epoch_kept")
	transporttest.Golden[Command](t, "order")
	transporttest.Golden[Result](t, "outcome")
}
