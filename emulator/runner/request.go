package runner

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"onyxwell/base/clock"
	baseresponse "onyxwell/base/response"
	"onyxwell/base/settings"
	"onyxwell/data/upstream"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/piece"
)

// Headers that only runners use.
const (
	notRunHeader          = baseresponse.NotRunHeader
	modelHeader           = "Onyxwell-Model"
	expectedVersionHeader = "Onyxwell-Expected-Version"
	weightVersionsHeader  = "Onyxwell-Weight-Versions"
)

const (
	// defaultTimeout and defaultUrgency are those of requests that state none.
	defaultTimeout = 60 * time.Second
	defaultUrgency = 5
	// warmupSlowdown is by how much a request takes longer during warm-up.
	warmupSlowdown = 4
)

// inboundRequest is a request with the faults that were drawn for it.
type inboundRequest struct {
	http      *http.Request
	attemptID string // "" where it has none
	body      []byte // nil until it is read
	draw      *faultDraw
}

func (r *Runner) newRequest(httpReq *http.Request) *inboundRequest {
	attemptID := httpReq.Header.Get(upstream.AttemptIDHeader)
	return &inboundRequest{http: httpReq, attemptID: attemptID, draw: r.drawFaults(attemptID)}
}

// lastEventID returns the number of the event after which the client resumes, 0 for the
// start.
func (i *inboundRequest) lastEventID() int {
	return piece.EventNumber(i.attemptID, i.http.Header.Get(upstream.LastEventIDHeader))
}

// streams reports whether the request is answered with a stream of events, which
// its path says.
func (i *inboundRequest) streams() bool {
	return strings.Contains(i.http.URL.Path, "/stream/") || strings.Contains(i.http.URL.Path, "/resumable/")
}

// respondsEarly reports whether the response comes before the body is read.
func (i *inboundRequest) respondsEarly() bool { return i.draw.has(EarlyAnswer) }

// urgency returns the request's urgency; the lowest goes first.
func (i *inboundRequest) urgency() int {
	urgency, err := strconv.Atoi(i.http.Header.Get(upstream.PriorityHeader))
	if err != nil {
		return defaultUrgency
	}
	return urgency
}

// timeoutOf returns how long the client of a request waits.
func timeoutOf(httpReq *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(httpReq.Header.Get(upstream.TimeLeftHeader), 64)
	if err != nil || ms <= 0 {
		return defaultTimeout
	}
	return settings.Milliseconds(ms)
}

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(method string, target string, host string, body []byte) oracle.Fingerprint {
	return oracle.Fingerprint{Method: method, Target: target, Host: host, Body: piece.Hash(string(body))}
}

// rejectStatus returns the status with which an incarnation rejects a request, or
// 0 where it accepts it.
func (r *Runner) rejectStatus(req *inboundRequest, incarnation Incarnation) int {
	if req.attemptID == "" {
		return http.StatusBadRequest
	}
	target, version := req.http.Header.Get(upstream.TargetRunnerHeader), req.http.Header.Get(expectedVersionHeader)
	if (target != "" && target != incarnation.ID) || (version != "" && version != strconv.Itoa(r.settings.WeightsVersion)) {
		return http.StatusMisdirectedRequest
	}
	if req.draw.has(Refusal) {
		return []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest}[req.draw.IntN(3)]
	}
	return 0
}

// respond admits a request, runs it and writes the response. It reports whether
// the connection stays open.
func (s *serverConn) respond(req *inboundRequest) bool {
	runner := s.runner
	ctx, cancel := runner.withTimeout(timeoutOf(req.http))
	defer cancel()
	if status := runner.rejectStatus(req, runner.Incarnation()); status != 0 {
		return s.reject(req, status)
	}
	if !runner.admitWhileCold() {
		s.reset()
		return false
	}
	if !runner.slots.acquire(ctx, req.urgency()) {
		return s.reject(req, http.StatusServiceUnavailable)
	}
	defer runner.slots.release()
	// Another incarnation may have begun while the request was queued.
	seal, incarnation := runner.newSeal()
	if status := runner.rejectStatus(req, incarnation); status != 0 {
		return s.reject(req, status)
	}
	return s.execute(ctx, req, seal, incarnation)
}

// reject answers a request that does not run.
func (s *serverConn) reject(req *inboundRequest, status int) bool {
	incarnation := s.runner.Incarnation()
	resp := s.runner.newResponse(req, incarnation, "", status)
	resp.addHeader(notRunHeader, "1")
	if req.draw.has(Refusal) && req.draw.IntN(2) == 0 {
		resp.body = []string{"turned away\n"}
	}
	s.injectFaults(req, resp)
	s.record(req, resp, incarnation, "")
	return s.writeResponse(s.runner.ctx, resp)
}

// execute runs a request.
func (s *serverConn) execute(ctx context.Context, req *inboundRequest, seal string, incarnation Incarnation) bool {
	runner := s.runner
	unread := runner.cache.prefill(req.http.Header.Get(modelHeader), req.http.Header.Get(upstream.PromptPrefixHeader))
	serviceTime := runner.settings.ServiceTime + time.Duration(unread*float64(runner.settings.PrefillPerToken))
	if runner.warmupLeft() > 0 {
		serviceTime *= warmupSlowdown
	}
	status := http.StatusOK
	if req.draw.has(OwnFailure) {
		status = http.StatusInternalServerError
	}
	if req.draw.has(FalseRefusal) {
		status = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}[req.draw.IntN(3)]
	}
	resp := runner.newResponse(req, incarnation, seal, status)
	s.injectFaults(req, resp)
	s.record(req, resp, incarnation, seal)
	if !clock.Wait(ctx, runner.clock, serviceTime) {
		// The client's time-out passed while the request ran.
		s.discardInput()
		return false
	}
	return s.writeResponse(ctx, resp)
}

// record counts a request's faults and reports it; an empty seal is that of a
// rejected request. It has to be called before a byte of the response is written.
func (s *serverConn) record(req *inboundRequest, resp *response, incarnation Incarnation, seal string) {
	faults := resp.faults
	if req.respondsEarly() {
		faults = append(faults, EarlyAnswer)
	}
	s.runner.countFaults(faults)
	if s.runner.options.OnRequest == nil || req.attemptID == "" {
		return
	}
	s.runner.options.OnRequest(oracle.Run{
		Attempt: req.attemptID, Runner: incarnation.ID, Service: incarnation.Service, Seal: seal,
		Fingerprint: FingerprintOf(req.http.Method, req.http.RequestURI, req.http.Host, req.body),
		Tenant:      req.http.Header.Get(upstream.TenantHeader), KeyPassed: req.http.Header.Get(upstream.APIKeyHeader) != "",
		Rejected: seal == "", Status: resp.status, LastEventID: req.lastEventID(),
		DeclaredLength: resp.framedLength, BodyUnread: req.respondsEarly(), Faults: faults,
	})
}
