package gossip

import (
	"hash/fnv"

	"onyxwell/base/ids"
)

// PutNext puts a body under a key that several daemons may write, in a version
// above the known one. It reports whether it was taken.
func (s *Store) PutNext(key string, writer ids.Address, body []byte) bool {
	known, _ := s.Get(key)
	return s.Put(Item{Key: key, Version: NextVersion(known.Version, writer), Body: body})
}

// writerBits is the number of low bits of a version that tell writers apart.
const writerBits = 16

// NextVersion returns a version above the known one, for keys that several
// daemons may write: the counter in the high bits rises by one, a hash of the
// writer's address fills the low writerBits. So two that write at once get
// different versions, and the same one wins everywhere.
func NextVersion(known ids.Version, writer ids.Address) ids.Version {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(writer))
	return (known>>writerBits+1)<<writerBits | ids.Version(hash.Sum64()>>(64-writerBits))
}
