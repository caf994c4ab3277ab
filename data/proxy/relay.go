package proxy

import (
	"errors"
	"io"
	"math"
	"net/http"

	"onyxwell/base/invariant"
	"onyxwell/base/memquota"
	"onyxwell/base/response"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// relay takes a runner's answer to the visitor. It gives the fate of the run
// and whether the visit is over.
func (e *exchange) relay(ctx scope.Scope, runner *snapshot.Runner, response *http.Response) (upstream.Outcome, bool) {
	defer response.Body.Close()
	if e.route.Type == config.Streaming && response.StatusCode == http.StatusOK {
		return e.relayEvents(response)
	}
	if e.headerSent {
		// A stream's rest was asked for and something else came.
		return upstream.Garbled, false
	}
	most := e.maxBufferedResponse()
	if response.ContentLength >= most {
		return upstream.Garbled, false
	}
	source := &io.LimitedReader{R: response.Body, N: most}
	body := e.proxy.bodyQuota.NewBody()
	defer body.Release()
	err := body.Read(source, response.ContentLength, most)
	if errors.Is(err, memquota.ErrFull) {
		return e.relayUnbuffered(response, body, source)
	}
	if err != nil {
		return upstream.Indeterminate, false
	}
	if int64(len(body.Bytes)) == most {
		return upstream.Garbled, false
	}
	e.beginResponse(response, int64(len(body.Bytes)))
	_, err = e.writer.Write(body.Bytes)
	return e.clientTook(err)
}

// relayUnbuffered passes on as it comes what the memory has no room for: after a
// break it cannot be asked for again, and looks broken.
func (e *exchange) relayUnbuffered(response *http.Response, body *memquota.Body, rest *io.LimitedReader) (upstream.Outcome, bool) {
	e.beginResponse(response, max(unknownLength, response.ContentLength))
	_, err := e.writer.Write(body.Bytes)
	body.Release()
	if err != nil {
		return e.clientTook(err)
	}
	source := &upstreamReader{source: rest}
	if _, err = io.Copy(e.writer, source); source.err != nil {
		return upstream.Indeterminate, false
	}
	if rest.N <= 0 {
		return upstream.Garbled, false
	}
	return e.clientTook(err)
}

// upstreamReader tells a source's failure from that of where its bytes go.
type upstreamReader struct {
	source io.Reader
	err    error
}

// Read reads on.
func (u *upstreamReader) Read(buffer []byte) (int, error) {
	size, err := u.source.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		u.err = err
	}
	return size, err
}

// maxBufferedResponse is the size that no answer has: one that does not end must not take
// the memory of all.
func (e *exchange) maxBufferedResponse() int64 {
	if most := e.proxy.options.Scope.Settings.Limits.MemoryMB << 20 / 8; most > 0 {
		return most
	}
	return math.MaxInt64
}

// clientTook notes whether the visitor took the last bytes.
func (e *exchange) clientTook(err error) (upstream.Outcome, bool) {
	if err != nil {
		e.clientGone = true
		return upstream.Indeterminate, true
	}
	e.outcome = outcomeAnswered
	if e.upstreamStatus >= http.StatusInternalServerError {
		e.outcome = outcomeUpstreamError
	}
	return upstream.Answered, true
}

// beginResponse writes the head. Asked for a head alone, a runner's length is that of the
// body that it doesn't send.
func (e *exchange) beginResponse(response *http.Response, length int64) {
	told, sealed := response.Header.Get(upstream.AttemptIDHeader), response.Header.Get(upstream.SealHeader) != ""
	if told != e.upstreamRequest.AttemptID || (response.StatusCode/100 == 2 && !sealed) {
		e.proxy.options.Monitor.Violated(invariant.AnswerSeal, "attempt %s gets an answer of %q, status %d, sealed %v", e.upstreamRequest.AttemptID, told, response.StatusCode, sealed)
	}
	e.upstreamStatus = response.StatusCode
	e.sendHeader(response, length)
}

func (e *exchange) sendHeader(resp *http.Response, length int64) {
	header := upstream.EndToEndHeader(resp.Header)
	told := header["Content-Length"]
	delete(header, "Content-Length")
	if e.request.Method == http.MethodHead {
		length = unknownLength
		if len(told) > 0 {
			header["Content-Length"] = told[:1]
		}
	}
	response.WriteHeader(e.writer, resp.StatusCode, header, length, e.closesConn())
	e.headerSent = true
}

// unknownLength is the length of a body that is told in chunks.
const unknownLength = -1

// streamLength is the length of a stream. One that may go on elsewhere has none: the
// events of another run are not as long as those of the first.
func (e *exchange) streamLength(response *http.Response) int64 {
	if e.route.Resumable {
		return unknownLength
	}
	return response.ContentLength
}

// abort ends the connection so that what was begun does not look whole. To a
// client of HTTP/1.0 its end may be the answer's, so that it has to be a reset.
func (e *exchange) abort() {
	if link, known := e.request.Context().Value(connKey{}).(*clientConn); known && e.headerSent && !e.request.ProtoAtLeast(1, 1) {
		link.resetOnClose()
	}
	response.Abort()
}

// relayEvents passes whole events on as they come. Where the runner breaks off,
// the visit goes on after the last event that was passed.
func (e *exchange) relayEvents(response *http.Response) (upstream.Outcome, bool) {
	after := ""
	if e.hasLastEventID {
		after = response.Request.Header.Get(upstream.LastEventIDHeader)
	}
	events := upstream.NewEventReader(response.Body, after)
	flusher := http.NewResponseController(e.writer)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return e.finishEvents(response, event)
		}
		if err != nil {
			return eventOutcome(err), false
		}
		if !e.headerSent {
			e.beginResponse(response, e.streamLength(response))
		}
		_, wrote := e.writer.Write(event)
		if wrote == nil {
			wrote = flusher.Flush()
		}
		if wrote != nil {
			return e.clientTook(wrote)
		}
		if e.hasLastEventID && events.HasLastID && events.LastID != e.lastEventID && events.LastID != e.lastEventID+1 {
			e.proxy.options.Monitor.Violated(invariant.EventOrder, "attempt %s gets event %d after %d", e.upstreamRequest.AttemptID, events.LastID, e.lastEventID)
		}
		e.lastEventID, e.hasLastEventID = events.LastID, events.HasLastID
	}
}

// finishEvents ends a stream that came whole.
func (e *exchange) finishEvents(response *http.Response, rest []byte) (upstream.Outcome, bool) {
	if !e.headerSent {
		e.beginResponse(response, e.streamLength(response))
	}
	_, err := e.writer.Write(rest)
	return e.clientTook(err)
}

func eventOutcome(err error) upstream.Outcome {
	if errors.Is(err, upstream.ErrEventOrder) {
		return upstream.Garbled
	}
	return upstream.Indeterminate
}
