// Package piece makes the bodies of emulated answers: every line and event
// carries the attempt, the service and the seal of the run that made it, so that
// one byte of another request is seen at once.
package piece

import (
	"fmt"
	"hash/fnv"
	"strings"
)

// Source is the run that a body comes from.
type Source struct {
	Attempt string
	Service string
	// Seal is the run's own stamp, told apart from all others.
	Seal string
}

// Hash mixes words to one number, the same on every machine.
func Hash(words ...string) uint64 {
	digest := fnv.New64a()
	for _, word := range words {
		_, _ = digest.Write([]byte(word))
		_, _ = digest.Write([]byte{0})
	}
	mixed := digest.Sum64()
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	return mixed ^ mixed>>33
}

// maxLines and maxPadding bound bodies; one piece in longLineEvery is long enough
// to reach over the buffers of whoever carries it.
const (
	maxLines      = 8
	maxPadding    = 40
	longLineEvery = 23
	longPadding   = 5000
)

// LineCount is how many pieces the answer to an attempt has, whichever run makes it.
func LineCount(attempt string) int { return 1 + int(Hash(attempt, "total")%maxLines) }

// Line is the text of one piece, without an end of line.
func (s Source) Line(number int) string {
	mark := Hash(s.Attempt, "padding", fmt.Sprint(number))
	padding := int(mark % maxPadding)
	if mark%longLineEvery == 0 {
		padding = longPadding
	}
	return fmt.Sprintf("%s %s %s %d/%d %s.", s.Attempt, s.Service, s.Seal, number, LineCount(s.Attempt),
		strings.Repeat(string(rune('a'+number)), padding))
}

// Body is the whole body of an answer that is no stream.
func (s Source) Body() string {
	var text strings.Builder
	for number := 1; number <= LineCount(s.Attempt); number++ {
		text.WriteString(s.Line(number))
		text.WriteByte('\n')
	}
	return text.String()
}

// Event is one event of a stream, as its bytes go over the wire.
func (s Source) Event(number int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, s.Line(number))
}
