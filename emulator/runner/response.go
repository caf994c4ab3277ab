package runner

import (
	"fmt"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// response is an answer on its way to becoming bytes.
type response struct {
	status  int
	headers [][2]string
	body    []string
	stream  bool
	chunked bool
	gap     clock.Span
	// unframed bodies have neither length nor chunks; length is what is told in
	// place of the body's own where told is set.
	unframed       bool
	lengthSet      bool
	declaredLength int
	framedLength   int
	// corruptChunk changes the bytes of one chunk.
	corruptChunk func(chunk string) string
	// raw stands in place of the whole answer.
	raw string
	// prefix comes ahead of the answer, after behind it.
	prefix string
	suffix string
	// lateBytes and idle are left with the connection: see there.
	lateBytes []byte
	idleBytes []byte
	// cutAt is the byte at which end happens; -1 is after the last.
	cutAt      int
	onEnd      func(link *serverConn)
	dribble    bool
	closeAfter bool
	faults     []string
}

// head gives the bytes of the head.
func (r *response) head() string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d X\r\n", r.status)
	for _, pair := range r.headers {
		fmt.Fprintf(&text, "%s: %s\r\n", pair[0], pair[1])
	}
	size := r.size()
	if r.lengthSet {
		size = r.declaredLength
	}
	if r.chunked {
		text.WriteString("Transfer-Encoding: chunked\r\n")
	} else if !r.unframed {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", size)
	}
	if r.closeAfter || r.unframed {
		text.WriteString("Connection: close\r\n")
	}
	text.WriteString("\r\n")
	return text.String()
}

func (r *response) size() int {
	size := 0
	for _, part := range r.body {
		size += len(part)
	}
	return size
}

// segments gives the framed body in the pieces in which it is written.
func (r *response) segments() []string {
	if !r.chunked {
		return r.body
	}
	var parts []string
	for index, part := range r.body {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		if r.corruptChunk != nil && index == len(r.body)/2 {
			chunk = r.corruptChunk(chunk)
		}
		parts = append(parts, chunk)
	}
	return append(parts, "0\r\n\r\n")
}

// text is the whole answer without what surrounds it.
func (r *response) text() string { return r.head() + strings.Join(r.segments(), "") }

// writeResponse sends the answer and does at its end what its troubles say; it tells
// whether the connection goes on.
func (s *serverConn) writeResponse(ctx scope.Scope, told *response) bool {
	ahead := string(s.lateBytes) + told.prefix
	s.lateBytes, s.idleBytes = told.lateBytes, told.idleBytes
	segments := append([]string{told.head()}, told.segments()...)
	if told.raw != "" {
		segments = []string{told.raw}
	}
	left, cut := told.cutAt, false
	for index := 0; index < len(segments) && !cut; index++ {
		segment := segments[index]
		if cut = told.cutAt >= 0 && left <= len(segment); cut {
			segment = segment[:left]
		}
		left -= len(segment)
		if index == len(segments)-1 && !cut {
			segment += told.suffix
		}
		if !s.writeBytes(ctx, ahead+segment, told.dribble) {
			return false
		}
		ahead = ""
		if told.gap > 0 && index+1 < len(segments) {
			ctx.Wait(told.gap)
		}
	}
	if told.onEnd != nil {
		if cut && told.unframed {
			// A clean end would be the body's own.
			_ = s.tcp.SetLinger(0)
		}
		told.onEnd(s)
		return false
	}
	return !cut && !told.closeAfter && !told.unframed
}

// dribbleWrites is into how many pieces an answer is cut at most that comes in small
// ones.
const dribbleWrites = 24

// writeBytes writes bytes, whole or in small pieces.
func (s *serverConn) writeBytes(ctx scope.Scope, text string, dribble bool) bool {
	size := len(text)
	if dribble {
		size = max(1, len(text)/dribbleWrites)
	}
	for text != "" {
		count := min(size, len(text))
		if _, err := s.tcp.Write([]byte(text[:count])); err != nil {
			return false
		}
		if text = text[count:]; text != "" {
			ctx.Wait(clock.Millisecond / 4)
		}
	}
	return true
}
