package gossip

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"

	"onyxwell/base/ids"
	"onyxwell/control/membership"
)

// Versions returns the versions of the stored items that a member should hold, ordered
// by key.
func (s *Store) Versions(member membership.Member) []ItemVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	var versions []ItemVersion
	for key, known := range s.items {
		if shouldHold(key, member) {
			versions = append(versions, ItemVersion{Key: known.Key, Version: known.Version})
		}
	}
	slices.SortFunc(versions, func(a, b ItemVersion) int { return cmp.Compare(a.Key, b.Key) })
	return versions
}

// Digest returns a 64-bit hash of Versions. Two stores that hold the same items for the
// member have the same digest.
func (s *Store) Digest(member membership.Member) int64 {
	hash := fnv.New64a()
	for _, version := range s.Versions(member) {
		_, _ = hash.Write([]byte(version.Key))
		_, _ = hash.Write(binary.LittleEndian.AppendUint64([]byte{0}, uint64(version.Version)))
	}
	return int64(hash.Sum64())
}

// Diff compares the store with the versions of another store. It returns the items that
// are newer in this store and that the member should hold, in their wire form, and the
// keys of the items that are newer in the other store.
func (s *Store) Diff(versions []ItemVersion, member membership.Member) (items []Item, wantedKeys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	remote := map[string]ids.Version{}
	for _, version := range versions {
		remote[version.Key] = version.Version
		if known, ok := s.items[version.Key]; !ok || known.Version < version.Version {
			wantedKeys = append(wantedKeys, version.Key)
		}
	}
	for key, known := range s.items {
		if version, ok := remote[key]; shouldHold(key, member) && (!ok || version < known.Version) {
			items = append(items, known.wire)
		}
	}
	slices.SortFunc(items, compareKeys)
	return items, wantedKeys
}
