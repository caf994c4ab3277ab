// Package jsonsize estimates how much memory a JSON text takes once it is decoded, before
// it is: a text of many small values takes up to sixty times its bytes.
package jsonsize

// Memory of decoded values in bytes, without the text of names, strings and numbers.
const (
	// objectBytes is for an object: a map with room for eight fields.
	objectBytes = 256
	// valueBytes is for each value: an interface and what it points to, and its place in a
	// list or a map that has grown.
	valueBytes = 104
)

// Decoded returns an upper estimate of the memory, in bytes, of a text that is decoded into
// maps, slices and interfaces. It neither checks the text nor allocates memory.
func Decoded(text []byte) int64 {
	var objects, values int64
	inString, escaped := false, false
	for _, character := range text {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped = character == '\\'
			inString = character != '"'
		case character == '"':
			inString = true
		case character == '{':
			objects++
			values++
		case character == '[' || character == ',':
			values++
		}
	}
	return int64(len(text)) + objects*objectBytes + values*valueBytes
}
