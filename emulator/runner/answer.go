package runner

import (
	"fmt"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// answer is an answer on its way to becoming bytes.
type answer struct {
	status  int
	heads   [][2]string
	body    []string
	stream  bool
	chunked bool
	gap     clock.Span
	// unframed bodies have neither length nor chunks; length is what is told in
	// place of the body's own where told is set.
	unframed bool
	told     bool
	length   int
	framed   int
	// bend changes the bytes of one chunk.
	bend func(chunk string) string
	// raw stands in place of the whole answer.
	raw string
	// before comes ahead of the answer, after behind it.
	before string
	after  string
	// late and idle are left with the connection: see there.
	late []byte
	idle []byte
	// cut is the byte at which end happens; -1 is after the last.
	cut     int
	end     func(link *link)
	dribble bool
	closing bool
	met     []string
}

// head gives the bytes of the head.
func (answer *answer) head() string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d X\r\n", answer.status)
	for _, pair := range answer.heads {
		fmt.Fprintf(&text, "%s: %s\r\n", pair[0], pair[1])
	}
	size := answer.size()
	if answer.told {
		size = answer.length
	}
	if answer.chunked {
		text.WriteString("Transfer-Encoding: chunked\r\n")
	} else if !answer.unframed {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", size)
	}
	if answer.closing || answer.unframed {
		text.WriteString("Connection: close\r\n")
	}
	text.WriteString("\r\n")
	return text.String()
}

func (answer *answer) size() int {
	size := 0
	for _, part := range answer.body {
		size += len(part)
	}
	return size
}

// parts gives the framed body in the pieces in which it is written.
func (answer *answer) parts() []string {
	if !answer.chunked {
		return answer.body
	}
	var parts []string
	for index, part := range answer.body {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		if answer.bend != nil && index == len(answer.body)/2 {
			chunk = answer.bend(chunk)
		}
		parts = append(parts, chunk)
	}
	return append(parts, "0\r\n\r\n")
}

// text is the whole answer without what surrounds it.
func (answer *answer) text() string { return answer.head() + strings.Join(answer.parts(), "") }

// write sends the answer and does at its end what its troubles say; it tells
// whether the connection goes on.
func (link *link) write(inner scope.Scope, told *answer) bool {
	ahead := string(link.late) + told.before
	link.late, link.idle = told.late, told.idle
	segments := append([]string{told.head()}, told.parts()...)
	if told.raw != "" {
		segments = []string{told.raw}
	}
	left, cut := told.cut, false
	for index := 0; index < len(segments) && !cut; index++ {
		segment := segments[index]
		if cut = told.cut >= 0 && left <= len(segment); cut {
			segment = segment[:left]
		}
		left -= len(segment)
		if index == len(segments)-1 && !cut {
			segment += told.after
		}
		if !link.put(inner, ahead+segment, told.dribble) {
			return false
		}
		ahead = ""
		if told.gap > 0 && index+1 < len(segments) {
			inner.Wait(told.gap)
		}
	}
	if told.end != nil {
		if cut && told.unframed {
			// A clean end would be the body's own.
			_ = link.conn.SetLinger(0)
		}
		told.end(link)
		return false
	}
	return !cut && !told.closing && !told.unframed
}

// dribbles is into how many pieces an answer is cut at most that comes in small
// ones.
const dribbles = 24

// put writes bytes, whole or in small pieces.
func (link *link) put(inner scope.Scope, text string, dribble bool) bool {
	size := len(text)
	if dribble {
		size = max(1, len(text)/dribbles)
	}
	for text != "" {
		count := min(size, len(text))
		if _, err := link.conn.Write([]byte(text[:count])); err != nil {
			return false
		}
		if text = text[count:]; text != "" {
			inner.Wait(clock.Millisecond / 4)
		}
	}
	return true
}
