package proxy

import (
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"onyxwell/base/memquota"
	"onyxwell/base/response"
	"onyxwell/control/config"
	"onyxwell/data/upstream"
)

// relay forwards a runner's response to the client. It returns the attempt's
// outcome and whether the exchange is over.
func (e *exchange) relay(resp *http.Response) (outcome upstream.Outcome, done bool) {
	defer resp.Body.Close()
	if e.route.Type == config.Streaming && resp.StatusCode == http.StatusOK {
		return e.relayEvents(resp)
	}
	if e.headerSent {
		// The attempt was to resume a stream, and this is not one.
		if resp.StatusCode >= http.StatusInternalServerError {
			return upstream.InvalidResponse, false
		}
		return upstream.Unusable, false
	}
	return e.relayBuffered(resp)
}

// relayBuffered reads a response to its end before forwarding it, so that the
// request can be retried if the response breaks off.
func (e *exchange) relayBuffered(resp *http.Response) (outcome upstream.Outcome, done bool) {
	maxBytes := e.proxy.responseSizeLimit()
	if resp.ContentLength >= maxBytes {
		return upstream.InvalidResponse, false
	}
	source := &io.LimitedReader{R: resp.Body, N: maxBytes}
	body := e.proxy.bodyQuota.NewBody()
	defer body.Release()
	err := body.Read(source, resp.ContentLength, maxBytes)
	if errors.Is(err, memquota.ErrFull) {
		return e.relayUnbuffered(resp, body, source)
	}
	if err != nil {
		return upstream.Indeterminate, false
	}
	if int64(len(body.Bytes)) == maxBytes {
		return upstream.InvalidResponse, false
	}
	e.beginResponse(resp, int64(len(body.Bytes)))
	_, err = e.w.Write(body.Bytes)
	return e.endResponse(err)
}

// relayUnbuffered forwards a response as it arrives, for lack of memory to buffer
// it. If the response breaks off, the request can't be retried and the exchange
// is aborted.
func (e *exchange) relayUnbuffered(resp *http.Response, body *memquota.Body, rest *io.LimitedReader) (outcome upstream.Outcome, done bool) {
	e.beginResponse(resp, max(unknownLength, resp.ContentLength))
	_, err := e.w.Write(body.Bytes)
	body.Release()
	if err != nil {
		return e.endResponse(err)
	}
	source := &errorRecordingReader{source: rest}
	if _, err = io.Copy(e.w, source); source.err != nil {
		return upstream.Indeterminate, false
	}
	if rest.N <= 0 {
		return upstream.InvalidResponse, false
	}
	return e.endResponse(err)
}

// relayEvents forwards complete events as they arrive. If the stream breaks off,
// the next attempt resumes after the last event forwarded.
func (e *exchange) relayEvents(resp *http.Response) (outcome upstream.Outcome, done bool) {
	events := upstream.NewEventReader(resp.Body, &e.events)
	flusher := http.NewResponseController(e.w)
	for {
		previousID := e.events.Last()
		event, readErr := events.Next()
		end := errors.Is(readErr, io.EOF)
		if readErr != nil && !end {
			return outcomeOfReadError(readErr), false
		}
		if !e.headerSent {
			e.beginResponse(resp, e.streamLength(resp))
		}
		_, err := e.w.Write(event)
		if end {
			return e.endResponse(err)
		}
		if err == nil {
			err = flusher.Flush()
		}
		if err != nil {
			return e.endResponse(err)
		}
		e.checkEventOrder(previousID, e.events.Last())
	}
}

// unknownLength stands for the length of a body that is sent without a
// Content-Length.
const unknownLength = -1

// streamLength returns the body length to announce for a stream. A resumable
// stream has none, because the events of another execution may differ in length.
func (e *exchange) streamLength(resp *http.Response) int64 {
	if e.route.Resumable {
		return unknownLength
	}
	return resp.ContentLength
}

// outcomeOfReadError returns the outcome of an attempt whose event stream could
// not be read further.
func outcomeOfReadError(err error) upstream.Outcome {
	switch {
	case errors.Is(err, upstream.ErrEventOrder):
		return upstream.InvalidResponse
	case errors.Is(err, upstream.ErrEventGap):
		return upstream.Unusable
	}
	return upstream.Indeterminate
}

// errorRecordingReader records a read error of its source, so that it can be told
// from a write error after io.Copy.
type errorRecordingReader struct {
	source io.Reader
	err    error
}

// Read implements io.Reader.
func (r *errorRecordingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return n, err
}

// responseSizeDivisor limits a response other than an event stream to less than
// 1/responseSizeDivisor of the machine's memory.
const responseSizeDivisor = 8

// responseSizeLimit returns the size that a response other than an event stream
// must stay below, so that an endless one does not exhaust the memory.
func (p *Proxy) responseSizeLimit() int64 {
	if maxBytes := p.machineLimits.MemoryMB << 20 / responseSizeDivisor; maxBytes > 0 {
		return maxBytes
	}
	return math.MaxInt64
}

// beginResponse sends the head of a runner's response to the client. A length
// below 0 is unknown.
func (e *exchange) beginResponse(resp *http.Response, length int64) {
	e.checkResponse(resp)
	e.upstreamStatus = resp.StatusCode
	header := upstream.EndToEndHeader(resp.Header)
	upstreamLength := header["Content-Length"]
	delete(header, "Content-Length")
	if e.req.Method == http.MethodHead {
		// A response to HEAD has no body. Its Content-Length is that of the body of a
		// response to GET, and is forwarded.
		length = unknownLength
		if len(upstreamLength) > 0 {
			header["Content-Length"] = upstreamLength[:1]
		}
	}
	response.WriteHeader(e.w, resp.StatusCode, header, length, e.closesConn())
	e.headerSent = true
}

// endResponse sets the outcome after the response has been written; err is the
// error of the last write.
func (e *exchange) endResponse(err error) (outcome upstream.Outcome, done bool) {
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

// outOfContactRetryAfter is the Retry-After for a request whose route or key a
// router that is cut off does not know or may not trust.
const outOfContactRetryAfter = time.Second

// minRetryAfter is the lower bound of Retry-After.
const minRetryAfter = 20 * time.Millisecond
