// Package piece builds the bodies of emulated responses. Every line and event
// carries the attempt, the service and the seal of the run that produced it, so
// that a single byte of another run's response can be told.
package piece

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// Source is the run that produced a body.
type Source struct {
	Attempt string
	Service string
	// Seal identifies the run. No two runs have the same.
	Seal string
}

// Hash returns a hash of the words that is the same on every machine. It is FNV-1a
// with the finalizer of MurmurHash3, so that all bits depend on all input.
func Hash(words ...string) uint64 {
	digest := fnv.New64a()
	for _, word := range words {
		_, _ = digest.Write([]byte(word))
		_, _ = digest.Write([]byte{0})
	}
	h := digest.Sum64()
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// Bounds of a body: at most maxLines lines, each with less than maxPadding bytes
// of padding. One line in longLineEvery gets longPadding instead, which is more
// than the buffers of the readers on the way hold.
const (
	maxLines      = 8
	maxPadding    = 40
	longLineEvery = 23
	longPadding   = 5000
)

// LineCount returns how many lines or events the complete response to an attempt
// has. It does not depend on the run.
func LineCount(attempt string) int { return 1 + int(Hash(attempt, "total")%maxLines) }

// Line returns the text of a line, counted from 1, without its end of line.
func (s Source) Line(number int) string {
	hash := Hash(s.Attempt, "padding", fmt.Sprint(number))
	padding := int(hash % maxPadding)
	if hash%longLineEvery == 0 {
		padding = longPadding
	}
	return fmt.Sprintf("%s %s %s %d/%d %s.", s.Attempt, s.Service, s.Seal, number, LineCount(s.Attempt),
		strings.Repeat(string(rune('a'+number)), padding))
}

// Body returns the complete body of a response that is not streamed.
func (s Source) Body() string {
	var body strings.Builder
	for number := 1; number <= LineCount(s.Attempt); number++ {
		body.WriteString(s.Line(number))
		body.WriteByte('\n')
	}
	return body.String()
}

// Event returns an event of a streamed response, as its bytes go over the wire.
func (s Source) Event(number int) string {
	return fmt.Sprintf("id: %s\ndata: %s\n\n", EventID(s.Attempt, number), s.Line(number))
}
