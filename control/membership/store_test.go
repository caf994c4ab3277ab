package membership

import (
	"slices"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/control/state/wal"
)

// TestStoreSave_detectsChangedZoneSizes has the size of a zone be published once the members
// no longer change: a daemon that loses power afterwards must know it.
func TestStoreSave_detectsChangedZoneSizes(t *testing.T) {
	disk := wal.Dir(t.TempDir())
	var published, restored []ZoneSize
	store := Store{
		Table: NewTable(clock.NewFake(), Member{Address: "a:1", Zone: "east", Role: "router"}), Disk: disk, Name: "members",
		ZoneSizes: func() []ZoneSize { return published }, RestoreZoneSizes: func(sizes []ZoneSize) { restored = sizes },
	}
	for _, published = range [][]ZoneSize{nil, {{Zone: "east", Routers: 13}}} {
		if err := store.Save(); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Load(); err != nil {
		t.Fatal(err)
	}
	if !slices.Equal(restored, published) {
		t.Errorf("%v are restored of %v", restored, published)
	}
}
