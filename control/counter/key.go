package counter

import (
	"crypto/sha256"
	"encoding/binary"
)

// keySize is the length of a Key in bytes: two IDs share one with a probability of
// 2^-128.
const keySize = 16

// Key stands for an ID within a counter. IDs are of any length; what is remembered of
// them forever is not.
type Key [keySize]byte

// KeyOf returns the key of an ID in a counter.
func KeyOf(counter string, id string) Key {
	text := binary.AppendUvarint(nil, uint64(len(counter)))
	text = append(text, counter...)
	text = append(text, id...)
	sum := sha256.Sum256(text)
	return Key(sum[:keySize])
}
