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

// pass takes a runner's answer to the visitor. It gives the fate of the run
// and whether the visit is over.
func (v *visit) pass(ctx scope.Scope, runner *snapshot.Runner, response *http.Response) (upstream.Outcome, bool) {
	defer response.Body.Close()
	if v.route.Type == config.Streaming && response.StatusCode == http.StatusOK {
		return v.passEvents(response)
	}
	if v.begun {
		// A stream's rest was asked for and something else came.
		return upstream.Garbled, false
	}
	most := v.answerMost()
	if response.ContentLength >= most {
		return upstream.Garbled, false
	}
	source := &io.LimitedReader{R: response.Body, N: most}
	body := v.front.bodies.NewBody()
	defer body.Release()
	err := body.Read(source, response.ContentLength, most)
	if errors.Is(err, memquota.ErrFull) {
		return v.passUnheld(response, body, source)
	}
	if err != nil {
		return upstream.Indeterminate, false
	}
	if int64(len(body.Bytes)) == most {
		return upstream.Garbled, false
	}
	v.begin(response, int64(len(body.Bytes)))
	_, err = v.writer.Write(body.Bytes)
	return v.took(err)
}

// passUnheld passes on as it comes what the memory has no room for: after a
// break it cannot be asked for again, and looks broken.
func (v *visit) passUnheld(response *http.Response, body *memquota.Body, rest *io.LimitedReader) (upstream.Outcome, bool) {
	v.begin(response, max(unknown, response.ContentLength))
	_, err := v.writer.Write(body.Bytes)
	body.Release()
	if err != nil {
		return v.took(err)
	}
	source := &read{from: rest}
	if _, err = io.Copy(v.writer, source); source.err != nil {
		return upstream.Indeterminate, false
	}
	if rest.N <= 0 {
		return upstream.Garbled, false
	}
	return v.took(err)
}

// read tells a source's failure from that of where its bytes go.
type read struct {
	from io.Reader
	err  error
}

// Read reads on.
func (r *read) Read(buffer []byte) (int, error) {
	size, err := r.from.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		r.err = err
	}
	return size, err
}

// answerMost is the size that no answer has: one that does not end must not take
// the memory of all.
func (v *visit) answerMost() int64 {
	if most := v.front.options.Scope.Settings.Limits.MemoryMB << 20 / 8; most > 0 {
		return most
	}
	return math.MaxInt64
}

// took notes whether the visitor took the last bytes.
func (v *visit) took(err error) (upstream.Outcome, bool) {
	if err != nil {
		v.gone = true
		return upstream.Indeterminate, true
	}
	v.outcome = outcomeAnswered
	if v.status >= http.StatusInternalServerError {
		v.outcome = outcomeRunnerFailed
	}
	return upstream.Answered, true
}

// begin writes the head. Asked for a head alone, a runner's length is that of the
// body that it doesn't send.
func (v *visit) begin(response *http.Response, length int64) {
	told, sealed := response.Header.Get(upstream.AttemptIDHeader), response.Header.Get(upstream.SealHeader) != ""
	if told != v.sent.AttemptID || (response.StatusCode/100 == 2 && !sealed) {
		v.front.options.Monitor.Violated(invariant.AnswerSeal, "attempt %s gets an answer of %q, status %d, sealed %v", v.sent.AttemptID, told, response.StatusCode, sealed)
	}
	v.status = response.StatusCode
	v.beginHead(response, length)
}

func (v *visit) beginHead(resp *http.Response, length int64) {
	header := upstream.EndToEndHeader(resp.Header)
	told := header["Content-Length"]
	delete(header, "Content-Length")
	if v.request.Method == http.MethodHead {
		length = unknown
		if len(told) > 0 {
			header["Content-Length"] = told[:1]
		}
	}
	response.WriteHeader(v.writer, resp.StatusCode, header, length, v.closes())
	v.begun = true
}

// unknown is the length of a body that is told in chunks.
const unknown = -1

// lengthOf is the length of a stream. One that may go on elsewhere has none: the
// events of another run are not as long as those of the first.
func (v *visit) lengthOf(response *http.Response) int64 {
	if v.route.Resumable {
		return unknown
	}
	return response.ContentLength
}

// abort ends the connection so that what was begun does not look whole. To a
// client of HTTP/1.0 its end may be the answer's, so that it has to be a reset.
func (v *visit) abort() {
	if link, known := v.request.Context().Value(watchedKey{}).(*watched); known && v.begun && !v.request.ProtoAtLeast(1, 1) {
		link.spoil()
	}
	response.Abort()
}

// passEvents passes whole events on as they come. Where the runner breaks off,
// the visit goes on after the last event that was passed.
func (v *visit) passEvents(response *http.Response) (upstream.Outcome, bool) {
	after := ""
	if v.known {
		after = response.Request.Header.Get(upstream.LastEventIDHeader)
	}
	events := upstream.NewEventReader(response.Body, after)
	flusher := http.NewResponseController(v.writer)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return v.endEvents(response, event)
		}
		if err != nil {
			return fateOf(err), false
		}
		if !v.begun {
			v.begin(response, v.lengthOf(response))
		}
		_, wrote := v.writer.Write(event)
		if wrote == nil {
			wrote = flusher.Flush()
		}
		if wrote != nil {
			return v.took(wrote)
		}
		if v.known && events.HasLastID && events.LastID != v.last && events.LastID != v.last+1 {
			v.front.options.Monitor.Violated(invariant.EventOrder, "attempt %s gets event %d after %d", v.sent.AttemptID, events.LastID, v.last)
		}
		v.last, v.known = events.LastID, events.HasLastID
	}
}

// endEvents ends a stream that came whole.
func (v *visit) endEvents(response *http.Response, rest []byte) (upstream.Outcome, bool) {
	if !v.begun {
		v.begin(response, v.lengthOf(response))
	}
	_, err := v.writer.Write(rest)
	return v.took(err)
}

func fateOf(err error) upstream.Outcome {
	if errors.Is(err, upstream.ErrEventOrder) {
		return upstream.Garbled
	}
	return upstream.Indeterminate
}
