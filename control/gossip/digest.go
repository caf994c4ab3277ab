package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"sort"

	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// Marks names the items that another daemon should hold.
func (n *News) Marks(partner membership.Member) []Mark {
	n.mu.Lock()
	defer n.mu.Unlock()
	var marks []Mark
	for key, item := range n.items {
		if !concerns(key, partner) {
			continue
		}
		marks = append(marks, Mark{Key: item.Key, Serial: item.Serial})
	}
	sort.Slice(marks, func(left, right int) bool { return marks[left].Key < marks[right].Key })
	return marks
}

// Digest is one number for all that Marks names: two that hold the same items
// have the same.
func (n *News) Digest(partner membership.Member) int64 {
	digest := fnv.New64a()
	for _, mark := range n.Marks(partner) {
		_, _ = digest.Write([]byte(mark.Key))
		_, _ = digest.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(mark.Serial)))
	}
	return int64(digest.Sum64())
}

// Compare gives the items that are newer here than the marks say, and the keys
// of those that are newer there. The items are as they travel.
func (n *News) Compare(marks []Mark, partner membership.Member) (items []Item, wanted []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	theirs := map[string]ids.Serial{}
	for _, mark := range marks {
		theirs[mark.Key] = mark.Serial
		if own, found := n.items[mark.Key]; !found || own.Serial < mark.Serial {
			wanted = append(wanted, mark.Key)
		}
	}
	for key, item := range n.items {
		if serial, found := theirs[key]; concerns(key, partner) && (!found || serial < item.Serial) {
			items = append(items, item.wire)
		}
	}
	sort.Slice(items, func(left, right int) bool { return items[left].Key < items[right].Key })
	return items, wanted
}
