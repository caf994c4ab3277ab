package gossip

import (
	"hash/fnv"

	"onyxwell/base/ids"
)

// PutNext stores a body under a key that several daemons may write, with a version above
// the known one, and queues it to be pushed. It reports whether the store accepted the
// item.
func (s *Store) PutNext(key string, writer ids.Address, body []byte) bool {
	known, _ := s.Get(key)
	return s.Put(Item{Key: key, Version: NextVersion(known.Version, writer), Body: body})
}

// writerBits is the number of low bits of a version that identify the writer.
const writerBits = 16

// NextVersion returns a version above the known one for a key that several daemons may
// write. It increments the counter in the high bits and sets the low writerBits to a hash
// of the writer's address, so that concurrent writers use different versions and the same
// one wins everywhere.
func NextVersion(known ids.Version, writer ids.Address) ids.Version {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(writer))
	return (known>>writerBits+1)<<writerBits | ids.Version(hash.Sum64()>>(64-writerBits))
}
