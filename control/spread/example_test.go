package spread_test

import (
	"fmt"

	"onyxwell/control/cohort"
	"onyxwell/control/spread"
)

func ExampleNews() {
	news := spread.NewNews(func(item spread.Item) { fmt.Println("fresh:", item.Key, item.Serial) })
	news.Put(spread.Item{Key: "spec", Serial: 7})
	news.Put(spread.Item{Key: "spec", Serial: 5})
	items, wanted := news.Compare([]spread.Mark{{Key: "spec", Serial: 6}, {Key: "plan", Serial: 1}}, cohort.Member{})
	fmt.Println("newer here:", len(items), "wanted:", wanted)
	// Output:
	// fresh: spec 7
	// newer here: 1 wanted: [plan]
}
