package gossip

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
	"onyxwell/base/proptest"
	"onyxwell/control/membership"
)

// backboneMember is a daemon that should hold all items except those of a single zone.
var backboneMember = membership.Member{ServesControl: true}

func TestMain(m *testing.M) { proptest.Run(m) }

// TestStore_versionsOnlyIncrease puts items in any order: the versions passed to onUpdate
// must increase for each key, and the store must end with the highest.
func TestStore_versionsOnlyIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newest := map[string]ids.Version{}
		store := NewStore(func(item Item) {
			if item.Version <= newest[item.Key] {
				t.Fatalf("key %s went from version %d to %d", item.Key, newest[item.Key], item.Version)
			}
			newest[item.Key] = item.Version
		})
		highest := map[string]ids.Version{}
		for range rapid.IntRange(1, 40).Draw(t, "count") {
			key := rapid.SampledFrom([]string{"spec", "plan"}).Draw(t, "key")
			version := ids.Version(rapid.IntRange(1, 20).Draw(t, "serial"))
			store.Put(Item{Key: key, Version: version})
			highest[key] = max(highest[key], version)
		}
		for key, version := range highest {
			if item, _ := store.Get(key); item.Version != version {
				t.Fatalf("key %s: version %d, want %d", key, item.Version, version)
			}
		}
	})
}

// TestStoreDiff_converges runs exchanges between pairs of stores: after enough of them, all
// stores must hold the newest item of each key.
func TestStoreDiff_converges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stores []*Store
		for range 5 {
			stores = append(stores, NewStore(nil))
		}
		for index := range rapid.IntRange(1, 20).Draw(t, "items") {
			storeIndex := rapid.IntRange(0, len(stores)-1).Draw(t, "where")
			stores[storeIndex].Put(Item{Key: fmt.Sprint(index % 4), Version: ids.Version(index + 1), Body: []byte{byte(index)}})
		}
		exchange := func(from *Store, to *Store) {
			items, wantedKeys := to.Diff(from.Versions(backboneMember), backboneMember)
			if same := from.Digest(backboneMember) == to.Digest(backboneMember); same != (len(items)+len(wantedKeys) == 0) {
				t.Fatalf("digests agree: %v, but the newer items are %v and the wanted keys %v", same, items, wantedKeys)
			}
			for _, item := range items {
				from.receive(item, nil)
			}
			for _, key := range wantedKeys {
				item, _ := from.Get(key)
				to.Put(item)
			}
		}
		for range 2 {
			for index := range stores {
				exchange(stores[index], stores[(index+1)%len(stores)])
			}
		}
		for index := 1; index < len(stores); index++ {
			if items, wantedKeys := stores[index].Diff(stores[0].Versions(backboneMember), backboneMember); len(items)+len(wantedKeys) != 0 {
				t.Fatalf("store %d still differs from the first: newer items %v, wanted keys %v", index, items, wantedKeys)
			}
		}
	})
}

func TestNextVersion_differsByWriter(t *testing.T) {
	one, other := NextVersion(5<<writerBits, "a:1"), NextVersion(5<<writerBits, "b:1")
	if one == other || one>>writerBits != 6 || other>>writerBits != 6 {
		t.Fatalf("versions %d and %d, want different ones with counter 6", one, other)
	}
}
