package membership

import (
	"testing"

	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes checks the encoding of each struct of this package that is
// stored or sent. The golden files hold the bytes that other builds store or send: never
// edit one.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[Datagram](t, "datagram")
	transporttest.Golden[Member](t, "member")
	transporttest.Golden[ZoneSize](t, "size")
	transporttest.Golden[Digest](t, "sums")
	transporttest.Golden[storedMembers](t, "kept")
}
