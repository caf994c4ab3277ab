package gossip

import (
	"encoding/binary"
	"hash/fnv"
	"sort"

	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// Versions names the items that another daemon should hold.
func (s *Store) Versions(partner membership.Member) []ItemVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var marks []ItemVersion
	for key, item := range s.items {
		if !shouldHold(key, partner) {
			continue
		}
		marks = append(marks, ItemVersion{Key: item.Key, Version: item.Version})
	}
	sort.Slice(marks, func(left, right int) bool { return marks[left].Key < marks[right].Key })
	return marks
}

// Digest is one number for all that Marks names: two that hold the same items
// have the same.
func (s *Store) Digest(partner membership.Member) int64 {
	digest := fnv.New64a()
	for _, mark := range s.Versions(partner) {
		_, _ = digest.Write([]byte(mark.Key))
		_, _ = digest.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(mark.Version)))
	}
	return int64(digest.Sum64())
}

// Diff gives the items that are newer here than the marks say, and the keys
// of those that are newer there. The items are as they travel.
func (s *Store) Diff(marks []ItemVersion, partner membership.Member) (items []Item, wanted []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	theirs := map[string]ids.Serial{}
	for _, mark := range marks {
		theirs[mark.Key] = mark.Version
		if own, found := s.items[mark.Key]; !found || own.Version < mark.Version {
			wanted = append(wanted, mark.Key)
		}
	}
	for key, item := range s.items {
		if serial, found := theirs[key]; shouldHold(key, partner) && (!found || serial < item.Version) {
			items = append(items, item.wire)
		}
	}
	sort.Slice(items, func(left, right int) bool { return items[left].Key < items[right].Key })
	return items, wanted
}
