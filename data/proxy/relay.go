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

// relay passes a runner's response on to the client. It returns what the
// attempt came to and whether the exchange is over.
func (e *exchange) relay(resp *http.Response) (outcome upstream.Outcome, done bool) {
	defer resp.Body.Close()
	if e.route.Type == config.Streaming && resp.StatusCode == http.StatusOK {
		return e.relayEvents(resp)
	}
	if e.headerSent {
		// The rest of a stream was asked for, and this is none.
		return upstream.Garbled, false
	}
	return e.relayBuffered(resp)
}

// relayBuffered passes a response on once it is complete: one that breaks before
// can be asked for again.
func (e *exchange) relayBuffered(resp *http.Response) (outcome upstream.Outcome, done bool) {
	maxBytes := e.proxy.responseSizeLimit()
	if resp.ContentLength >= maxBytes {
		return upstream.Garbled, false
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
		return upstream.Garbled, false
	}
	e.beginResponse(resp, int64(len(body.Bytes)))
	_, err = e.w.Write(body.Bytes)
	return e.endResponse(err)
}

// relayUnbuffered passes a response on as it comes where there is no memory for
// it: after a break it can't be asked for again, and the exchange is aborted.
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
		return upstream.Garbled, false
	}
	return e.endResponse(err)
}

// relayEvents passes complete events on as they come. Where the runner breaks
// off, the next attempt resumes after the last event passed on.
func (e *exchange) relayEvents(resp *http.Response) (outcome upstream.Outcome, done bool) {
	resumeAfter := ""
	if e.hasLastEventID {
		resumeAfter = resp.Request.Header.Get(upstream.LastEventIDHeader)
	}
	events := upstream.NewEventReader(resp.Body, resumeAfter)
	flusher := http.NewResponseController(e.w)
	for {
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
		e.checkEventOrder(events)
		e.lastEventID, e.hasLastEventID = events.LastID, events.HasLastID
	}
}

// unknownLength is the length of a body that is sent in chunks.
const unknownLength = -1

// streamLength returns the length that a stream's head tells. One that may be
// resumed has none: the events of another run have other lengths.
func (e *exchange) streamLength(resp *http.Response) int64 {
	if e.route.Resumable {
		return unknownLength
	}
	return resp.ContentLength
}

func outcomeOfReadError(err error) upstream.Outcome {
	if errors.Is(err, upstream.ErrEventOrder) {
		return upstream.Garbled
	}
	return upstream.Indeterminate
}

// errorRecordingReader keeps the error of its source apart from that of a copy's
// destination.
type errorRecordingReader struct {
	source io.Reader
	err    error
}

// Read implements io.Reader.
func (u *errorRecordingReader) Read(p []byte) (int, error) {
	n, err := u.source.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		u.err = err
	}
	return n, err
}

// responseSizeDivisor says which part of the machine's memory no response
// reaches, as 1/responseSizeDivisor.
const responseSizeDivisor = 8

// responseSizeLimit is the size that a response must stay below: one without an end
// must not take all memory.
func (p *Proxy) responseSizeLimit() int64 {
	if maxBytes := p.machineLimits.MemoryMB << 20 / responseSizeDivisor; maxBytes > 0 {
		return maxBytes
	}
	return math.MaxInt64
}

// beginResponse sends the head of a runner's response to the client.
func (e *exchange) beginResponse(resp *http.Response, length int64) {
	e.checkResponse(resp)
	e.upstreamStatus = resp.StatusCode
	header := upstream.EndToEndHeader(resp.Header)
	upstreamLength := header["Content-Length"]
	delete(header, "Content-Length")
	if e.req.Method == http.MethodHead {
		// The length is that of a body which is not sent.
		length = unknownLength
		if len(upstreamLength) > 0 {
			header["Content-Length"] = upstreamLength[:1]
		}
	}
	response.WriteHeader(e.w, resp.StatusCode, header, length, e.closesConn())
	e.headerSent = true
}

// endResponse ends a response whose last write gave err.
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

// outOfContactRetryAfter is when a router that is cut off may know a route or a key.
const outOfContactRetryAfter = time.Second

// minRetryAfter is the least time that a rejected client is asked to wait.
const minRetryAfter = 20 * time.Millisecond
