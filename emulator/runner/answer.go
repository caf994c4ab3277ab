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
func (a *answer) head() string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d X\r\n", a.status)
	for _, pair := range a.heads {
		fmt.Fprintf(&text, "%s: %s\r\n", pair[0], pair[1])
	}
	size := a.size()
	if a.told {
		size = a.length
	}
	if a.chunked {
		text.WriteString("Transfer-Encoding: chunked\r\n")
	} else if !a.unframed {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", size)
	}
	if a.closing || a.unframed {
		text.WriteString("Connection: close\r\n")
	}
	text.WriteString("\r\n")
	return text.String()
}

func (a *answer) size() int {
	size := 0
	for _, part := range a.body {
		size += len(part)
	}
	return size
}

// parts gives the framed body in the pieces in which it is written.
func (a *answer) parts() []string {
	if !a.chunked {
		return a.body
	}
	var parts []string
	for index, part := range a.body {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		if a.bend != nil && index == len(a.body)/2 {
			chunk = a.bend(chunk)
		}
		parts = append(parts, chunk)
	}
	return append(parts, "0\r\n\r\n")
}

// text is the whole answer without what surrounds it.
func (a *answer) text() string { return a.head() + strings.Join(a.parts(), "") }

// write sends the answer and does at its end what its troubles say; it tells
// whether the connection goes on.
func (l *link) write(ctx scope.Scope, told *answer) bool {
	ahead := string(l.late) + told.before
	l.late, l.idle = told.late, told.idle
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
		if !l.put(ctx, ahead+segment, told.dribble) {
			return false
		}
		ahead = ""
		if told.gap > 0 && index+1 < len(segments) {
			ctx.Wait(told.gap)
		}
	}
	if told.end != nil {
		if cut && told.unframed {
			// A clean end would be the body's own.
			_ = l.conn.SetLinger(0)
		}
		told.end(l)
		return false
	}
	return !cut && !told.closing && !told.unframed
}

// dribbles is into how many pieces an answer is cut at most that comes in small
// ones.
const dribbles = 24

// put writes bytes, whole or in small pieces.
func (l *link) put(ctx scope.Scope, text string, dribble bool) bool {
	size := len(text)
	if dribble {
		size = max(1, len(text)/dribbles)
	}
	for text != "" {
		count := min(size, len(text))
		if _, err := l.conn.Write([]byte(text[:count])); err != nil {
			return false
		}
		if text = text[count:]; text != "" {
			ctx.Wait(clock.Millisecond / 4)
		}
	}
	return true
}
