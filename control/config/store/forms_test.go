package store

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes compares the encoding of each type that this package
// stores or sends with a golden file. The files hold what other builds store and
// send, so they must never be edited.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[Change](t, "change")
	transporttest.Golden[Record](t, "kept")
	transporttest.Golden[History](t, "memory")
	transporttest.Golden[Chunk](t, "page")
}
