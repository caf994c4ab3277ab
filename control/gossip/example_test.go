package gossip_test

import (
	"fmt"

	"onyxwell/control/gossip"
	"onyxwell/control/membership"
)

func ExampleNews() {
	news := gossip.NewNews(func(item gossip.Item) { fmt.Println("fresh:", item.Key, item.Serial) })
	news.Put(gossip.Item{Key: "spec", Serial: 7})
	news.Put(gossip.Item{Key: "spec", Serial: 5})
	items, wanted := news.Compare([]gossip.Mark{{Key: "spec", Serial: 6}, {Key: "plan", Serial: 1}}, membership.Member{})
	fmt.Println("newer here:", len(items), "wanted:", wanted)
	// Output:
	// fresh: spec 7
	// newer here: 1 wanted: [plan]
}
