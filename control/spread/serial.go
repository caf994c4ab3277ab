package spread

import (
	"hash/fnv"

	"onyxwell/base/ids"
)

// writerBits is how much of a serial tells writers apart.
const writerBits = 16

// NextSerial gives a serial above the one that is known, for items that more
// than one daemon may write: two that write at once get different ones, so that
// one of them counts everywhere.
//
// Example:
//
//	news.Put(spread.Item{Key: key, Serial: spread.NextSerial(known.Serial, address), Body: body})
func NextSerial(known ids.Serial, writer ids.Address) ids.Serial {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(writer))
	return (known>>writerBits+1)<<writerBits | ids.Serial(digest.Sum64()>>(64-writerBits))
}
