package runner

import (
	"fmt"
	"net/http"
	"strconv"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/data/upstream"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/piece"
)

// inboundRequest is one request with what was drawn for it.
type inboundRequest struct {
	request   *http.Request
	attemptID string
	body      []byte
	faults    *faultDraw
	timeout   clock.Span
}

// lastEventID is the event after which the client wants to go on.
func (i inboundRequest) lastEventID() int {
	number, err := strconv.Atoi(i.request.Header.Get(upstream.LastEventIDHeader))
	if err != nil {
		return 0
	}
	return number
}

// streams tells whether the request wants events: its path says so.
func (i inboundRequest) streams() bool { return IsStream(i.request.URL.Path) }

// IsStream tells whether a path is answered with a stream of events: its last
// part, or one before it, is "stream" or "resumable".
func IsStream(path string) bool {
	for _, name := range []string{"/stream/", "/resumable/"} {
		for at := 0; at+len(name) <= len(path); at++ {
			if path[at:at+len(name)] == name {
				return true
			}
		}
	}
	return false
}

// rejectStatus gives the status with which a request is refused; 0 takes it.
func (r *Runner) rejectStatus(asked inboundRequest, life Incarnation) int {
	if asked.attemptID == "" {
		return http.StatusBadRequest
	}
	target := asked.request.Header.Get(upstream.TargetHeader)
	expected := asked.request.Header.Get("Onyxwell-Expected-Version")
	if (target != "" && target != life.ID) || (expected != "" && expected != strconv.Itoa(r.settings.WeightsVersion)) {
		return http.StatusMisdirectedRequest
	}
	if asked.faults.faults[Refusal] {
		return []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest}[asked.faults.IntN(3)]
	}
	return 0
}

// serveRequest decides whether the request runs, runs it and answers; it tells whether
// the connection goes on.
func (s *serverConn) serveRequest(asked inboundRequest, early bool) bool {
	runner := s.runner
	limited, release := runner.options.Scope.WithTimeout(asked.timeout)
	defer release()
	status := runner.rejectStatus(asked, runner.Incarnation())
	if status != 0 {
		return s.reject(asked, status, early)
	}
	if !runner.admitWhileCold() {
		s.reset()
		return false
	}
	urgency, err := strconv.Atoi(asked.request.Header.Get(upstream.UrgencyHeader))
	if err != nil {
		urgency = 5
	}
	if !runner.slots.acquire(limited, urgency) {
		return s.reject(asked, http.StatusServiceUnavailable, early)
	}
	defer runner.slots.release()
	// The life may have changed while the request was in the queue.
	seal, life := runner.newSeal()
	if status = runner.rejectStatus(asked, life); status != 0 {
		return s.reject(asked, status, early)
	}
	return s.execute(limited, asked, early, seal, life)
}

func (s *serverConn) reject(asked inboundRequest, status int, early bool) bool {
	life := s.runner.Incarnation()
	told := s.runner.compose(asked, life, "", status)
	told.headers = append(told.headers, [2]string{"Onyxwell-Not-Run", "1"})
	if asked.faults.faults[Refusal] && asked.faults.IntN(2) == 0 {
		told.body = []string{"turned away\n"}
	}
	told.applyFaults(s, asked)
	s.record(asked, oracle.Run{Runner: life.ID, Service: life.Service, Rejected: true, Status: status, LastEventID: asked.lastEventID(), BodyUnread: early}, told)
	return s.writeResponse(s.runner.options.Scope, told)
}

func (s *serverConn) execute(limited scope.Scope, asked inboundRequest, early bool, seal string, life Incarnation) bool {
	runner := s.runner
	unread := runner.cache.prefill(asked.request.Header.Get("Onyxwell-Model"), asked.request.Header.Get(upstream.PromptPrefixHeader))
	work := runner.settings.ServiceTime + clock.Span(unread*float64(runner.settings.PrefillPerToken))
	if runner.warmupLeft() > 0 {
		work *= 4
	}
	status := http.StatusOK
	if asked.faults.faults[OwnFailure] {
		status = http.StatusInternalServerError
	}
	if asked.faults.faults[FalseRefusal] {
		status = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}[asked.faults.IntN(3)]
	}
	told := runner.compose(asked, life, seal, status)
	told.applyFaults(s, asked)
	s.record(asked, oracle.Run{
		Runner: life.ID, Service: life.Service, Seal: seal, Status: status, DeclaredLength: told.framedLength, LastEventID: asked.lastEventID(), BodyUnread: early,
	}, told)
	if !limited.Wait(work) {
		// The deadline passed while it ran; nobody waits any more.
		s.discardInput(runner.settings.MaxSilence)
		return false
	}
	return s.writeResponse(limited, told)
}

func (s *serverConn) record(asked inboundRequest, run oracle.Run, told *response) {
	names := told.faults
	if asked.faults.faults[EarlyAnswer] {
		names = append(names, EarlyAnswer)
	}
	s.runner.countFaults(names)
	if s.runner.options.OnRequest == nil || asked.attemptID == "" {
		return
	}
	run.Attempt, run.Faults = asked.attemptID, names
	run.Fingerprint = FingerprintOf(asked.request.Method, asked.request.RequestURI, asked.request.Host, asked.body)
	s.runner.options.OnRequest(run)
}

// FingerprintOf is what must reach a runner unchanged, for the oracle.
func FingerprintOf(method string, target string, host string, body []byte) oracle.Fingerprint {
	return oracle.Fingerprint{Method: method, Target: target, Host: host, Body: piece.Hash(string(body))}
}

// compose makes the answer that a runner without troubles gives.
func (r *Runner) compose(asked inboundRequest, life Incarnation, seal string, status int) *response {
	running, waiting, _ := r.slots.load()
	made := &response{status: status, cutAt: -1, chunked: asked.faults.IntN(4) == 0}
	made.headers = [][2]string{
		{upstream.AttemptIDHeader, asked.attemptID},
		{upstream.LoadHeader, fmt.Sprintf("%d,%d,%d", running, waiting, r.settings.Capacity)},
		{"Keep-Alive", fmt.Sprintf("timeout=%d", max(1, int(r.settings.IdleTimeout/clock.Second)))},
	}
	if left := r.warmupLeft(); left > 0 {
		made.headers = append(made.headers, [2]string{upstream.WarmupHeader, strconv.FormatInt(left.Milliseconds(), 10)})
	}
	if seal == "" {
		return made
	}
	made.headers = append(made.headers, [2]string{upstream.SealHeader, seal})
	if r.settings.WeightsVersion > 0 {
		made.headers = append(made.headers, [2]string{"Onyxwell-Weight-Versions", strconv.Itoa(r.settings.WeightsVersion)})
	}
	source := piece.Source{Attempt: asked.attemptID, Service: life.Service, Seal: seal}
	if !asked.streams() || status != http.StatusOK {
		made.body = []string{source.Body()}
		made.headers = append(made.headers, [2]string{"Content-Type", "text/plain"})
		return made
	}
	made.gap, made.stream, made.chunked = r.settings.EventInterval, true, !made.chunked
	made.headers = append(made.headers, [2]string{"Content-Type", "text/event-stream"})
	for number := asked.lastEventID() + 1; number <= piece.LineCount(asked.attemptID); number++ {
		made.body = append(made.body, source.Event(number))
	}
	return made
}
