package gossip

import (
	"hash/fnv"

	"onyxwell/base/ids"
)

// PutNext makes an item of a key that more than one daemon may write, above the one
// that is known.
func (s *Store) PutNext(key string, writer ids.Address, body []byte) bool {
	known, _ := s.Get(key)
	return s.Put(Item{Key: key, Version: NextVersion(known.Version, writer), Body: body})
}

// writerBits is how much of a serial tells writers apart.
const writerBits = 16

// NextVersion gives a serial above the one that is known, for items that more
// than one daemon may write: two that write at once get different ones, so that
// one of them counts everywhere.
func NextVersion(known ids.Serial, writer ids.Address) ids.Serial {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(writer))
	return (known>>writerBits+1)<<writerBits | ids.Serial(digest.Sum64()>>(64-writerBits))
}
