package runner

import (
	"fmt"
	"net/http"
	"strings"

	"onyxwell/data/upstream"
	"onyxwell/emulator/piece"
)

// injection is what a fault works on: the response to a request on a connection.
type injection struct {
	*response
	conn *serverConn
	req  *inboundRequest
}

// intN draws from 0 to n-1.
func (i *injection) intN(n int) int { return i.req.draw.IntN(n) }

// injectFaults changes a response by the faults that were drawn and fit it. Behind
// one that replaces the response none fits.
func (s *serverConn) injectFaults(req *inboundRequest, resp *response) {
	i := &injection{response: resp, conn: s, req: req}
	for _, fault := range Faults {
		if req.draw.has(fault.Name) && fault.inject != nil && resp.raw == "" && fault.inject(i) {
			resp.faults = append(resp.faults, fault.Name)
		}
	}
	if resp.chunked || resp.unframed || resp.raw != "" {
		resp.framedLength = 0
	}
}

// endAt has onEnd called before a byte of the response. The first call wins.
func (r *response) endAt(cutAt int, onEnd func(conn *serverConn)) bool {
	if r.onEnd != nil {
		return false
	}
	r.cutAt, r.onEnd = cutAt, onEnd
	return true
}

// closeConn leaves the close to serve.
func closeConn(*serverConn) {}

// unframe leaves the body of a run without length and chunks.
func (r *response) unframe() bool {
	if !r.hasSeal() {
		return false
	}
	r.chunked, r.unframed = false, true
	for r.removeHeader("Content-Length") {
	}
	return true
}

// appendBytes adds bytes right behind the response.
func (r *response) appendBytes(text string) bool {
	// Behind a body without a length, or with a length or chunk that is too long,
	// they would be part of the body.
	if r.unframed || r.corruptChunk != nil || (r.lengthSet && r.framedLength == 0) {
		return false
	}
	r.suffix += text
	return true
}

// The status of the first three was chosen before; here it is only reported.

func isOwnFailure(i *injection) bool { return i.status == http.StatusInternalServerError }

func isFalseRejection(i *injection) bool { return i.status > http.StatusBadRequest && i.hasSeal() }

func isRejection(i *injection) bool { return i.status > http.StatusBadRequest && !i.hasSeal() }

func omitSeal(i *injection) bool { return i.removeHeader(upstream.SealHeader) }

func echoOtherAttempt(i *injection) bool {
	if !i.removeHeader(upstream.AttemptIDHeader) {
		return false
	}
	i.addHeader(upstream.AttemptIDHeader, i.conn.runner.swapForeign(i.req.attemptID))
	return true
}

func encodeBody(i *injection) bool {
	if i.status != http.StatusOK {
		return false
	}
	i.body, i.stream = []string{"\x1f\x8b encoded bytes of " + i.req.attemptID}, false
	i.addHeader("Content-Encoding", "gzip")
	return true
}

func sendGarbage(i *injection) bool {
	i.raw = []string{
		"\x00\x01\x02\x03", "SSH-2.0-OpenSSH_9.6\r\n", "HTTP/1.1 \r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n", "ok\n",
		"HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id " + i.req.attemptID + "\r\n\r\n",
	}[i.intN(6)]
	return i.endAt(-1, closeConn)
}

func sendInterimResponses(i *injection) bool {
	for range 1 + i.intN(3) {
		status := []int{http.StatusContinue, http.StatusProcessing, http.StatusEarlyHints, 199}[i.intN(4)]
		i.prefix += fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n\r\n", status, upstream.AttemptIDHeader, i.req.attemptID)
	}
	return true
}

func declareShortLength(i *injection) bool {
	if i.stream || i.status != http.StatusOK || i.size() < 2 {
		return false
	}
	i.chunked, i.lengthSet, i.declaredLength = false, true, 1+i.intN(i.size()-1)
	i.framedLength = i.declaredLength
	return true
}

func declareLongLength(i *injection) bool {
	i.chunked, i.lengthSet, i.framedLength = false, true, 0
	i.declaredLength = i.size() + 1 + i.intN(100)
	return i.endAt(-1, closeConn)
}

func declareTwoLengths(i *injection) bool {
	i.chunked = false
	i.addHeader("Content-Length", fmt.Sprint(i.size()+1+i.intN(100)))
	return true
}

func declareLengthAndChunks(i *injection) bool {
	i.chunked = true
	i.addHeader("Content-Length", fmt.Sprint(i.intN(100)))
	return true
}

func omitLength(i *injection) bool { return i.unframe() }

func omitLengthAndCut(i *injection) bool {
	return i.size() > 1 && i.unframe() && i.endAt(len(i.head())+i.intN(i.size()), closeConn)
}

func declareShortChunk(i *injection) bool {
	return i.corruptMiddleChunk(func(size int, by int) int { return max(0, size-1-by) }, "zz")
}

func declareLongChunk(i *injection) bool {
	return i.corruptMiddleChunk(func(size int, by int) int { return size + 1 + by }, "")
}

// corruptMiddleChunk gives the middle chunk a wrong size or, in one case of three,
// the text that is no size, if there is one.
func (i *injection) corruptMiddleChunk(wrongSize func(size int, by int) int, noSize string) bool {
	if len(i.body) == 0 || i.unframed {
		return false
	}
	by, replace := i.intN(20), noSize != "" && i.intN(3) == 0
	i.chunked, i.lengthSet, i.framedLength = true, false, 0
	i.corruptChunk = func(chunk string) string {
		_, rest, _ := strings.Cut(chunk, "\r\n")
		if replace {
			return noSize + "\r\n" + rest
		}
		return fmt.Sprintf("%x\r\n%s", wrongSize(len(rest)-2, by), rest)
	}
	return i.endAt(-1, closeConn)
}

func appendForeignResponse(i *injection) bool { return i.appendBytes(i.foreignResponse()) }

func repeatResponse(i *injection) bool { return i.appendBytes(i.text()) }

func leaveForeignResponse(i *injection) bool {
	i.lateBytes = []byte(i.foreignResponse())
	return true
}

func leaveResponse(i *injection) bool {
	i.lateBytes = []byte(i.text())
	return true
}

func sendForeignResponseWhileIdle(i *injection) bool {
	i.idleBytes = []byte(i.foreignResponse())
	return true
}

func appendGarbage(i *injection) bool {
	return i.appendBytes([]string{"\r\n", "\x00", "loose bytes\r\n", "HTTP/1.1 ", "0\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"}[i.intN(6)])
}

func halfClose(i *injection) bool {
	return i.endAt(-1, func(conn *serverConn) {
		_ = conn.tcp.CloseWrite()
		conn.discardInput()
	})
}

func closeAfterResponse(i *injection) bool { return i.endAt(-1, closeConn) }

func announceClose(i *injection) bool {
	i.closeAfter = true
	return true
}

func dribble(i *injection) bool {
	i.dribble = true
	return true
}

func takeOver(i *injection) bool {
	service, reset := i.intN(2), i.intN(2) == 0
	return i.endAt(-1, func(conn *serverConn) {
		services := conn.runner.settings.Services
		conn.runner.TakeOver(services[service%len(services)], reset)
	})
}

func resetUnanswered(i *injection) bool { return i.endAt(0, (*serverConn).reset) }

// cutHead returns a fault that ends the response in its head.
func cutHead(onEnd func(conn *serverConn)) func(i *injection) bool {
	return func(i *injection) bool { return i.endAt(i.intN(len(i.head())), onEnd) }
}

// cutBody returns a fault that ends the response in its body.
func cutBody(onEnd func(conn *serverConn)) func(i *injection) bool {
	return func(i *injection) bool {
		size := i.framedSize()
		return size > 0 && i.endAt(len(i.head())+i.intN(size), onEnd)
	}
}

// foreignResponse returns a response to an earlier attempt, drawn from several
// kinds.
func (i *injection) foreignResponse() string {
	runner := i.conn.runner
	attempt := runner.swapForeign(i.req.attemptID)
	source := piece.Source{Attempt: attempt, Service: runner.Incarnation().Service, Seal: "extra." + fmt.Sprint(i.intN(1000))}
	foreign := &response{status: http.StatusOK, cutAt: -1, chunked: i.intN(2) == 0, body: []string{source.Body()}}
	foreign.addHeader(upstream.AttemptIDHeader, attempt)
	switch i.intN(5) {
	case 0:
		foreign.addHeader(upstream.SealHeader, source.Seal)
	case 1:
		foreign.addHeader(upstream.SealHeader, source.Seal)
		foreign.addHeader("Content-Type", "text/event-stream")
		foreign.body = []string{source.Event(1), source.Event(2)}
	case 2:
		foreign.status, foreign.body, foreign.chunked = http.StatusServiceUnavailable, nil, false
		foreign.addHeader(notRunHeader, "1")
	case 3:
		foreign.status, foreign.body, foreign.chunked = http.StatusNoContent, nil, false
		foreign.addHeader(upstream.SealHeader, source.Seal)
	case 4:
		foreign.status = http.StatusInternalServerError
	}
	return foreign.text()
}
