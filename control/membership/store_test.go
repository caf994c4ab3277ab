package membership

import (
	"slices"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/control/state/wal"
)

// TestStoreSave_detectsChangedZoneSizes publishes the size of a zone after the last change
// of the members: Save must write it, so that the daemon still knows it after losing power.
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
		t.Errorf("restored sizes %v, want %v", restored, published)
	}
}
