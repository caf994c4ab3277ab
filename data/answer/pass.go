package answer

import (
	"errors"
	"io"
	"math"
	"net/http"

	"onyxwell/base/invariant"
	"onyxwell/base/quota"
	"onyxwell/base/reply"
	"onyxwell/base/scope"
	"onyxwell/control/spec"
	"onyxwell/data/forward"
	"onyxwell/data/snapshot"
)

// pass takes a runner's answer to the visitor. It gives the fate of the run
// and whether the visit is over.
func (visit *visit) pass(inner scope.Scope, runner *snapshot.Runner, response *http.Response) (forward.Fate, bool) {
	defer response.Body.Close()
	if visit.route.Kind == spec.Streaming && response.StatusCode == http.StatusOK {
		return visit.passEvents(response)
	}
	if visit.begun {
		// A stream's rest was asked for and something else came.
		return forward.Garbled, false
	}
	most := visit.answerMost()
	if response.ContentLength >= most {
		return forward.Garbled, false
	}
	source := &io.LimitedReader{R: response.Body, N: most}
	body := visit.front.bodies.Hold()
	defer body.Release()
	err := body.Read(source, response.ContentLength, most)
	if errors.Is(err, quota.ErrFull) {
		return visit.passUnheld(response, body, source)
	}
	if err != nil {
		return forward.Doubtful, false
	}
	if int64(len(body.Bytes)) == most {
		return forward.Garbled, false
	}
	visit.begin(response, int64(len(body.Bytes)))
	_, err = visit.writer.Write(body.Bytes)
	return visit.took(err)
}

// passUnheld passes on as it comes what the memory has no room for: after a
// break it cannot be asked for again, and looks broken.
func (visit *visit) passUnheld(response *http.Response, body *quota.Body, rest *io.LimitedReader) (forward.Fate, bool) {
	visit.begin(response, max(unknown, response.ContentLength))
	_, err := visit.writer.Write(body.Bytes)
	body.Release()
	if err != nil {
		return visit.took(err)
	}
	source := &read{from: rest}
	if _, err = io.Copy(visit.writer, source); source.err != nil {
		return forward.Doubtful, false
	}
	if rest.N <= 0 {
		return forward.Garbled, false
	}
	return visit.took(err)
}

// read tells a source's failure from that of where its bytes go.
type read struct {
	from io.Reader
	err  error
}

// Read reads on.
func (read *read) Read(buffer []byte) (int, error) {
	size, err := read.from.Read(buffer)
	if err != nil && !errors.Is(err, io.EOF) {
		read.err = err
	}
	return size, err
}

// answerMost is the size that no answer has: one that does not end must not take
// the memory of all.
func (visit *visit) answerMost() int64 {
	if most := visit.front.options.Scope.Boot.Limits.MemoryMB << 20 / 8; most > 0 {
		return most
	}
	return math.MaxInt64
}

// took notes whether the visitor took the last bytes.
func (visit *visit) took(err error) (forward.Fate, bool) {
	if err != nil {
		visit.gone = true
		return forward.Doubtful, true
	}
	visit.outcome = outcomeAnswered
	if visit.status >= http.StatusInternalServerError {
		visit.outcome = outcomeRunnerFailed
	}
	return forward.Answered, true
}

// begin writes the head. Asked for a head alone, a runner's length is that of the
// body that it doesn't send.
func (visit *visit) begin(response *http.Response, length int64) {
	told, sealed := response.Header.Get(forward.AttemptHeader), response.Header.Get(forward.SealHeader) != ""
	if told != visit.sent.Attempt || (response.StatusCode/100 == 2 && !sealed) {
		visit.front.options.Monitor.Violated(invariant.AnswerSeal, "attempt %s gets an answer of %q, status %d, sealed %v", visit.sent.Attempt, told, response.StatusCode, sealed)
	}
	visit.status = response.StatusCode
	visit.beginHead(response, length)
}

func (visit *visit) beginHead(response *http.Response, length int64) {
	header := forward.PassedOn(response.Header)
	told := header["Content-Length"]
	delete(header, "Content-Length")
	if visit.request.Method == http.MethodHead {
		length = unknown
		if len(told) > 0 {
			header["Content-Length"] = told[:1]
		}
	}
	reply.Begin(visit.writer, response.StatusCode, header, length, visit.closes())
	visit.begun = true
}

// unknown is the length of a body that is told in chunks.
const unknown = -1

// lengthOf is the length of a stream. One that may go on elsewhere has none: the
// events of another run are not as long as those of the first.
func (visit *visit) lengthOf(response *http.Response) int64 {
	if visit.route.Resumable {
		return unknown
	}
	return response.ContentLength
}

// abort ends the connection so that what was begun does not look whole. To a
// client of HTTP/1.0 its end may be the answer's, so that it has to be a reset.
func (visit *visit) abort() {
	if link, known := visit.request.Context().Value(watchedKey{}).(*watched); known && visit.begun && !visit.request.ProtoAtLeast(1, 1) {
		link.spoil()
	}
	reply.Abort()
}

// passEvents passes whole events on as they come. Where the runner breaks off,
// the visit goes on after the last event that was passed.
func (visit *visit) passEvents(response *http.Response) (forward.Fate, bool) {
	after := ""
	if visit.known {
		after = response.Request.Header.Get(forward.LastEventField)
	}
	events := forward.NewEvents(response.Body, after)
	flusher := http.NewResponseController(visit.writer)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return visit.endEvents(response, event)
		}
		if err != nil {
			return fateOf(err), false
		}
		if !visit.begun {
			visit.begin(response, visit.lengthOf(response))
		}
		_, wrote := visit.writer.Write(event)
		if wrote == nil {
			wrote = flusher.Flush()
		}
		if wrote != nil {
			return visit.took(wrote)
		}
		if visit.known && events.Known && events.Last != visit.last && events.Last != visit.last+1 {
			visit.front.options.Monitor.Violated(invariant.EventOrder, "attempt %s gets event %d after %d", visit.sent.Attempt, events.Last, visit.last)
		}
		visit.last, visit.known = events.Last, events.Known
	}
}

// endEvents ends a stream that came whole.
func (visit *visit) endEvents(response *http.Response, rest []byte) (forward.Fate, bool) {
	if !visit.begun {
		visit.begin(response, visit.lengthOf(response))
	}
	_, err := visit.writer.Write(rest)
	return visit.took(err)
}

func fateOf(err error) forward.Fate {
	if errors.Is(err, forward.ErrOrder) {
		return forward.Garbled
	}
	return forward.Doubtful
}
