package gossip

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"onyxwell/base/ids"
	"onyxwell/base/proptest"
	"onyxwell/control/membership"
)

// everything is a daemon that should hold all.
var everything = membership.Member{Core: true}

func TestMain(tests *testing.M) { proptest.Run(tests) }

// TestSerialsOnlyRise puts items in any order: what is told as fresh rises for
// each key, and the newest stays.
func TestSerialsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newest := map[string]ids.Serial{}
		news := NewNews(func(item Item) {
			if item.Serial <= newest[item.Key] {
				t.Fatalf("%s went from %d to %d", item.Key, newest[item.Key], item.Serial)
			}
			newest[item.Key] = item.Serial
		})
		highest := map[string]ids.Serial{}
		for range rapid.IntRange(1, 40).Draw(t, "count") {
			key := rapid.SampledFrom([]string{"spec", "plan"}).Draw(t, "key")
			serial := ids.Serial(rapid.IntRange(1, 20).Draw(t, "serial"))
			news.Put(Item{Key: key, Serial: serial})
			highest[key] = max(highest[key], serial)
		}
		for key, serial := range highest {
			if item, _ := news.Get(key); item.Serial != serial {
				t.Fatalf("%s: %d, not %d", key, item.Serial, serial)
			}
		}
	})
}

// TestDigestsMendGaps lets pairs compare their digests both ways: after enough
// of them all know the newest of everything.
func TestDigestsMendGaps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []*News
		for range 5 {
			all = append(all, NewNews(nil))
		}
		for index := range rapid.IntRange(1, 20).Draw(t, "items") {
			where := rapid.IntRange(0, len(all)-1).Draw(t, "where")
			all[where].Put(Item{Key: fmt.Sprint(index % 4), Serial: ids.Serial(index + 1), Body: []byte{byte(index)}})
		}
		exchange := func(from *News, to *News) {
			items, wanted := to.Compare(from.Marks(everything), everything)
			if same := from.Digest(everything) == to.Digest(everything); same != (len(items)+len(wanted) == 0) {
				t.Fatalf("digests agree: %v, though %v and %v differ", same, items, wanted)
			}
			for _, item := range items {
				from.hear(item, nil)
			}
			for _, key := range wanted {
				item, _ := from.Get(key)
				to.Put(item)
			}
		}
		for range 2 {
			for index := range all {
				exchange(all[index], all[(index+1)%len(all)])
			}
		}
		for index := 1; index < len(all); index++ {
			if items, wanted := all[index].Compare(all[0].Marks(everything), everything); len(items)+len(wanted) != 0 {
				t.Fatalf("%d still differs from the first: %v %v", index, items, wanted)
			}
		}
	})
}

func TestWritersOfOneSerialDiffer(t *testing.T) {
	one, other := NextSerial(5<<writerBits, "a:1"), NextSerial(5<<writerBits, "b:1")
	if one == other || one>>writerBits != 6 || other>>writerBits != 6 {
		t.Fatalf("%d %d", one, other)
	}
}
