package gossip

import (
	"hash/fnv"

	"onyxwell/base/ids"
)

// Write makes an item of a key that more than one daemon may write, above the one
// that is known.
func (n *News) Write(key string, writer ids.Address, body []byte) bool {
	known, _ := n.Get(key)
	return n.Put(Item{Key: key, Serial: NextSerial(known.Serial, writer), Body: body})
}

// writerBits is how much of a serial tells writers apart.
const writerBits = 16

// NextSerial gives a serial above the one that is known, for items that more
// than one daemon may write: two that write at once get different ones, so that
// one of them counts everywhere.
func NextSerial(known ids.Serial, writer ids.Address) ids.Serial {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(writer))
	return (known>>writerBits+1)<<writerBits | ids.Serial(digest.Sum64()>>(64-writerBits))
}
