package runner

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"onyxwell/base/clock"
	"onyxwell/data/upstream"
	"onyxwell/emulator/piece"
)

type header struct{ name, value string }

// response is a response before it is written. Faults change it.
type response struct {
	status  int
	headers []header
	body    []string // lines or events, written one by one
	stream  bool
	chunked bool
	// interval is the pause between two writes.
	interval time.Duration
	// unframed bodies have neither a length nor chunks: the connection ends them.
	unframed bool
	// declaredLength is the Content-Length in place of the body's size, where
	// lengthSet is true. framedLength is the same where the body that a client sees
	// is shortened by it, otherwise 0.
	lengthSet      bool
	declaredLength int
	framedLength   int
	// corruptChunk changes the bytes of the middle chunk.
	corruptChunk func(chunk string) string
	// raw replaces the whole response.
	raw string
	// prefix and suffix are written before and behind the response.
	prefix string
	suffix string
	// lateBytes and idleBytes are left with the connection.
	lateBytes []byte
	idleBytes []byte
	// cutAt is the byte before which onEnd is called; -1 is behind the last.
	cutAt   int
	onEnd   func(conn *serverConn)
	dribble bool
	// closeAfter sends Connection: close.
	closeAfter bool
	// faults are the names of those that were injected.
	faults []string
}

// newResponse returns the response that a runner without faults gives. An empty
// seal is that of a rejected request, whose response has no body.
func (r *Runner) newResponse(req *inboundRequest, incarnation Incarnation, seal string, status int) *response {
	resp := &response{status: status, cutAt: -1, chunked: req.draw.IntN(4) == 0}
	resp.addHeader(upstream.AttemptIDHeader, req.attemptID)
	resp.addHeader(upstream.LoadHeader, r.loadText())
	resp.addHeader("Keep-Alive", fmt.Sprintf("timeout=%d", max(1, int(r.settings.IdleTimeout/time.Second))))
	if left := r.warmupLeft(); left > 0 {
		resp.addHeader(upstream.WarmupHeader, strconv.FormatInt(left.Milliseconds(), 10))
	}
	if seal == "" {
		return resp
	}
	resp.addHeader(upstream.SealHeader, seal)
	if r.settings.WeightsVersion > 0 {
		resp.addHeader(weightVersionsHeader, strconv.Itoa(r.settings.WeightsVersion))
	}
	source := piece.Source{Attempt: req.attemptID, Service: incarnation.Service, Seal: seal}
	if !req.streams() || status != http.StatusOK {
		resp.body = []string{source.Body()}
		resp.addHeader("Content-Type", "text/plain")
		return resp
	}
	resp.interval, resp.stream, resp.chunked = r.settings.EventInterval, true, !resp.chunked
	resp.addHeader("Content-Type", "text/event-stream")
	for number := req.lastEventID() + 1; number <= piece.LineCount(req.attemptID); number++ {
		resp.body = append(resp.body, source.Event(number))
	}
	return resp
}

func (r *response) addHeader(name string, value string) {
	r.headers = append(r.headers, header{name: name, value: value})
}

func (r *response) headerIndex(name string) int {
	return slices.IndexFunc(r.headers, func(h header) bool { return h.name == name })
}

// removeHeader removes the first header of a name, and reports whether there was
// one.
func (r *response) removeHeader(name string) bool {
	i := r.headerIndex(name)
	if i < 0 {
		return false
	}
	r.headers = slices.Delete(r.headers, i, i+1)
	return true
}

// hasSeal reports whether the response is that of a run.
func (r *response) hasSeal() bool { return r.headerIndex(upstream.SealHeader) >= 0 }

// head returns the bytes of the head.
func (r *response) head() string {
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d X\r\n", r.status)
	for _, header := range r.headers {
		fmt.Fprintf(&text, "%s: %s\r\n", header.name, header.value)
	}
	length := r.size()
	if r.lengthSet {
		length = r.declaredLength
	}
	if r.chunked {
		text.WriteString("Transfer-Encoding: chunked\r\n")
	} else if !r.unframed {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", length)
	}
	if r.closeAfter || r.unframed {
		text.WriteString("Connection: close\r\n")
	}
	text.WriteString("\r\n")
	return text.String()
}

// size returns the body's size without its framing.
func (r *response) size() int {
	size := 0
	for _, part := range r.body {
		size += len(part)
	}
	return size
}

// segments returns the framed body in the parts in which it is written.
func (r *response) segments() []string {
	if !r.chunked {
		return r.body
	}
	var segments []string
	for i, part := range r.body {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		if r.corruptChunk != nil && i == len(r.body)/2 {
			chunk = r.corruptChunk(chunk)
		}
		segments = append(segments, chunk)
	}
	return append(segments, "0\r\n\r\n")
}

// framedSize returns the body's size with its framing.
func (r *response) framedSize() int { return len(strings.Join(r.segments(), "")) }

// text returns the response without prefix and suffix.
func (r *response) text() string { return r.head() + strings.Join(r.segments(), "") }

// writeResponse writes a response, with its faults. It reports whether the
// connection stays open.
func (s *serverConn) writeResponse(ctx context.Context, resp *response) bool {
	ahead := string(s.lateBytes) + resp.prefix
	s.lateBytes, s.idleBytes = resp.lateBytes, resp.idleBytes
	segments := append([]string{resp.head()}, resp.segments()...)
	if resp.raw != "" {
		segments = []string{resp.raw}
	}
	left, cut := resp.cutAt, false
	for i := 0; i < len(segments) && !cut; i++ {
		segment := segments[i]
		if cut = resp.cutAt >= 0 && left <= len(segment); cut {
			segment = segment[:left]
		}
		left -= len(segment)
		if i == len(segments)-1 && !cut {
			segment += resp.suffix
		}
		if !s.writeBytes(ctx, ahead+segment, resp.dribble) {
			return false
		}
		ahead = ""
		if resp.interval > 0 && i+1 < len(segments) {
			clock.Wait(ctx, s.runner.clock, resp.interval)
		}
	}
	if resp.onEnd != nil {
		if cut && resp.unframed {
			// A clean close would end the body.
			_ = s.tcp.SetLinger(0)
		}
		resp.onEnd(s)
		return false
	}
	return !cut && !resp.closeAfter && !resp.unframed
}

const (
	// dribbleWrites is into how many writes of the same size a dribbled segment is
	// split, dribbleInterval the pause between two.
	dribbleWrites   = 24
	dribbleInterval = time.Millisecond / 4
)

// writeBytes writes bytes, in one write or dribbled.
func (s *serverConn) writeBytes(ctx context.Context, text string, dribble bool) bool {
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
			clock.Wait(ctx, s.runner.clock, dribbleInterval)
		}
	}
	return true
}
