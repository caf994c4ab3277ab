package counter

import (
	"crypto/sha256"
	"encoding/binary"
)

// keySize is the length of a Key in bytes. Two given IDs have the same key with a
// probability of 2^-128.
const keySize = 16

// Key identifies an ID within a counter. It is a hash of fixed length, since IDs can have
// any length and keys are kept forever.
type Key [keySize]byte

// KeyOf returns the key of an ID in a counter: a truncated SHA-256 of both. The length
// prefix keeps different pairs of counter and ID from being hashed as the same text.
func KeyOf(counter string, id string) Key {
	text := binary.AppendUvarint(nil, uint64(len(counter)))
	text = append(text, counter...)
	text = append(text, id...)
	sum := sha256.Sum256(text)
	return Key(sum[:keySize])
}
