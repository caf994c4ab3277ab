package answer

import (
	"errors"
	"io"
	"net/http"

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
	body, fault := io.ReadAll(response.Body)
	if fault != nil {
		return forward.Doubtful, false
	}
	visit.begin(response, int64(len(body)))
	_, fault = visit.writer.Write(body)
	return visit.took(fault)
}

// took notes whether the visitor took the last bytes.
func (visit *visit) took(fault error) (forward.Fate, bool) {
	if fault != nil {
		visit.gone = true
		return forward.Doubtful, true
	}
	return forward.Answered, true
}

func (visit *visit) begin(response *http.Response, length int64) {
	reply.Begin(visit.writer, response.StatusCode, forward.PassedOn(response.Header), length, visit.front.leaving.Load())
	visit.begun = true
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
		event, fault := events.Next()
		if errors.Is(fault, io.EOF) {
			return visit.endEvents(response, event)
		}
		if fault != nil {
			return fateOf(fault), false
		}
		if !visit.begun {
			visit.begin(response, response.ContentLength)
		}
		_, wrote := visit.writer.Write(event)
		if wrote == nil {
			wrote = flusher.Flush()
		}
		if wrote != nil {
			return visit.took(wrote)
		}
		visit.last, visit.known = events.Last, events.Known
	}
}

// endEvents ends a stream that came whole.
func (visit *visit) endEvents(response *http.Response, rest []byte) (forward.Fate, bool) {
	if !visit.begun {
		visit.begin(response, response.ContentLength)
	}
	_, fault := visit.writer.Write(rest)
	return visit.took(fault)
}

func fateOf(fault error) forward.Fate {
	if errors.Is(fault, forward.ErrOrder) {
		return forward.Garbled
	}
	return forward.Doubtful
}
