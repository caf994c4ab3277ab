package gossip_test

import (
	"fmt"

	"onyxwell/control/gossip"
	"onyxwell/control/membership"
)

func ExampleStore() {
	store := gossip.NewStore(func(item gossip.Item) { fmt.Println("updated:", item.Key, item.Version) })
	store.Put(gossip.Item{Key: "spec", Version: 7})
	store.Put(gossip.Item{Key: "spec", Version: 5})
	items, wantedKeys := store.Diff([]gossip.ItemVersion{{Key: "spec", Version: 6}, {Key: "plan", Version: 1}}, membership.Member{})
	fmt.Println("newer here:", len(items), "newer there:", wantedKeys)
	// Output:
	// updated: spec 7
	// newer here: 1 newer there: [plan]
}
