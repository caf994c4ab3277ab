package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/memquota"
	"onyxwell/base/response"
	"onyxwell/base/settings"
	"onyxwell/control/config"
	"onyxwell/data/balancer"
	"onyxwell/data/ratelimit"
	"onyxwell/data/runnerstats"
	"onyxwell/data/snapshot"
	"onyxwell/data/upstream"
)

// exchange holds the state of one client request: its attempts and its outcome.
// It is used only by the goroutine of its handler.
type exchange struct {
	proxy *Proxy
	w     http.ResponseWriter
	req   *http.Request
	// conn is the client's connection; nil if it was not accepted by a listener of
	// NewListener.
	conn      *clientConn
	arrivedAt clock.Instant

	// Set by readRequest.
	snapshot        *snapshot.Snapshot
	route           *config.Route
	tenant          *config.Tenant // nil if the request has no key of a tenant
	charge          ratelimit.Charge
	deadline        clock.Instant
	clientTimeout   time.Duration // the timeout set by the client; 0 if none
	requestBody     *memquota.Body
	upstreamRequest *upstream.Request
	balancerRequest balancer.Request

	attempts []attemptRecord

	// headerSent reports whether the head of a runner's response was sent to the
	// client.
	headerSent bool
	// rejected reports whether an error response of this router was sent.
	rejected       bool
	upstreamStatus int
	// events is the sequence of the events forwarded. Before any is, its last id is the
	// Last-Event-ID of a client that resumes a stream.
	events upstream.EventSequence
	// clientGone reports whether a write to the client failed.
	clientGone bool

	// usageCounted reports whether the request was counted for its tenant's usage.
	usageCounted bool

	// outcome is how the exchange ended; empty if it was aborted.
	outcome string
	// reason is the detail of a rejection; it may be empty.
	reason string
}

// serve reads the request, attempts it until a response is relayed or the
// request is rejected, and records the outcome.
func (e *exchange) serve() {
	defer e.recordOutcome()
	defer e.requestBody.Release()
	if err := e.readRequest(); err != nil {
		e.reject(errkind.KindOf(err), errkind.DetailOf(err))
		return
	}
	if !e.chargeQuota() {
		e.reject(errkind.QuotaExceeded, "")
		return
	}
	defer e.refundQuota()
	e.forward()
	if !e.headerSent && !e.rejected {
		// If the handler returned without a response, net/http would send an empty
		// 200.
		response.Abort()
	}
}

// readRequest reads the request within the limits of the current configuration
// and finds its route and tenant. Its errors have a kind of package errkind.
func (e *exchange) readRequest() error {
	e.snapshot = e.proxy.snapshots.Current()
	if e.snapshot.Config == nil {
		return errkind.Errorf(errkind.NotReady, "")
	}
	limits := e.snapshot.Config.Limits
	if limits.MaxHeaderBytes > 0 && headerBytes(e.req) > limits.MaxHeaderBytes {
		return errkind.Errorf(errkind.HeaderTooLarge, "over %d bytes", limits.MaxHeaderBytes)
	}
	if err := checkHead(e.req, e.conn); err != nil {
		return err
	}
	path, _, _ := strings.Cut(e.req.RequestURI, "?")
	e.route = e.snapshot.Config.Match(e.req.Host, path)
	if e.route == nil {
		return e.unknownError(errkind.NoRoute)
	}
	if err := e.identifyTenant(); err != nil {
		return err
	}
	if e.proxy.draining.Load() && e.arrivedAt > clock.Instant(e.proxy.acceptUntil.Load()) {
		return errkind.Errorf(errkind.Draining, "")
	}
	if attemptIDs := e.req.Header[upstream.AttemptIDHeader]; len(attemptIDs) != 1 || attemptIDs[0] == "" {
		return errkind.Errorf(errkind.BadRequest, "there must be one "+upstream.AttemptIDHeader)
	}
	body, err := e.readBody(limits)
	if err != nil {
		return err
	}
	e.setDeadline()
	e.setRequests(body)
	e.events = upstream.ResumedAfter(upstream.ParseEventID(e.req.Header.Get(upstream.LastEventIDHeader)))
	return nil
}

// headerBytes returns the size of a request's head as serialized in HTTP/1.1,
// without the empty line at its end.
func headerBytes(req *http.Request) int64 {
	size := len(req.Method) + len(req.RequestURI) + len("  HTTP/1.1\r\n") + len("Host: \r\n") + len(req.Host)
	for name, values := range req.Header {
		for _, value := range values {
			size += len(name) + len(": \r\n") + len(value)
		}
	}
	return int64(size)
}

// defaultBodyDivisor limits a request body to 1/defaultBodyDivisor of the
// machine's memory if the configuration sets no limit.
const defaultBodyDivisor = 64

// readBody reads the complete body into requestBody, so that it can be sent again
// in a retry.
func (e *exchange) readBody(limits config.Limits) ([]byte, error) {
	maxBytes := limits.MaxBodyBytes
	if maxBytes > 0 && e.req.ContentLength > maxBytes {
		return nil, errkind.Errorf(errkind.BodyTooLarge, "over %d bytes", maxBytes)
	}
	if maxBytes <= 0 {
		maxBytes = e.proxy.machineLimits.MemoryMB << 20 / defaultBodyDivisor
	}
	if e.req.ContentLength == 0 {
		return nil, nil
	}
	response.SetReadTimeout(e.w, settings.Milliseconds(limits.IdleTimeoutMS))
	err := e.requestBody.Read(http.MaxBytesReader(e.w, e.req.Body, maxBytes), e.req.ContentLength, maxBytes)
	response.SetReadTimeout(e.w, 0)
	if err == nil {
		return e.requestBody.Bytes, nil
	}
	var tooLarge *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, memquota.ErrFull):
		return nil, errkind.Errorf(errkind.OutOfMemory, "")
	case errors.As(err, &tooLarge):
		return nil, errkind.Errorf(errkind.BodyTooLarge, "over %d bytes", maxBytes)
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, errkind.Errorf(errkind.RequestTimeout, "")
	}
	return nil, errkind.Errorf(errkind.BadRequest, "the body is not whole")
}

// setDeadline sets the deadline to the arrival time plus the route's timeout or
// the client's, whichever is shorter.
func (e *exchange) setDeadline() {
	timeout := settings.Milliseconds(e.route.TimeoutMS)
	if ms, err := strconv.ParseFloat(e.req.Header.Get(upstream.TimeLeftHeader), 64); err == nil && ms > 0 {
		e.clientTimeout = settings.Milliseconds(ms)
		timeout = min(timeout, e.clientTimeout)
	}
	e.deadline = e.arrivedAt.Add(timeout)
}

// setRequests sets the request as it is sent to runners and as the balancer sees
// it. The client's key is not sent to runners if the configuration has tenants.
func (e *exchange) setRequests(body []byte) {
	e.upstreamRequest = &upstream.Request{
		Method: e.req.Method, Target: e.req.RequestURI, Host: e.req.Host,
		Header: upstream.EndToEndHeader(e.req.Header), Body: body,
		AttemptID: e.req.Header.Get(upstream.AttemptIDHeader),
	}
	if e.snapshot.Config.Tenants != nil {
		delete(e.upstreamRequest.Header, upstream.APIKeyHeader)
	}
	if e.tenant != nil {
		e.upstreamRequest.Tenant = e.tenant.Name
	}
	e.balancerRequest = balancer.Request{Route: e.route, Tenant: e.tenant, ArrivedAt: e.arrivedAt, Deadline: e.deadline, BodyBytes: len(body)}
	e.balancerRequest.ParsePromptParts(e.req.Header.Get(upstream.PromptPrefixHeader))
	e.balancerRequest.ParseTokenCount(e.req.Header.Get(upstream.TokenCountHeader))
}

// forward carries out the balancer's decisions until the exchange is over. It
// aborts if the client has disconnected.
func (e *exchange) forward() {
	ctx, cancel := e.proxy.clock.WithTimeout(e.req.Context(), e.deadline.Since(e.arrivedAt))
	defer cancel()
	admission := e.proxy.balancer.Admit(e.balancerRequest)
	for {
		if e.req.Context().Err() != nil {
			e.abort()
		}
		decision := admission.Next(e.proxy.clock.Now())
		switch decision.Action {
		case balancer.Send:
			if e.attempt(ctx, admission, decision.Runner) {
				return
			}
		case balancer.Wait:
			clock.Wait(ctx, e.proxy.clock, decision.Delay)
		case balancer.Fail:
			e.reject(decision.Kind, "")
			e.reason = "left out: " + admission.Exclusions().String()
			return
		}
	}
}

// attempt sends the request to a runner and relays its response. It reports
// whether the exchange is over.
func (e *exchange) attempt(ctx context.Context, admission *balancer.Admission, runner *snapshot.Runner) (done bool) {
	if e.headerSent && !e.events.Resumable() {
		// What was forwarded last had no event id, so no runner can resume after it.
		e.abort()
	}
	startedAt := e.proxy.clock.Now()
	if !admission.Confirm(runner, startedAt) {
		return false
	}
	defer admission.Release(runner)
	a := e.startAttempt(admission, runner, startedAt)
	result := e.proxy.upstream.Send(ctx, a.request)
	e.readRunnerHeaders(runner, result.Response)
	outcome := result.Outcome
	if outcome == upstream.Answered {
		e.responseBegan(&a)
		e.countUsage(result.Response)
		outcome, done = e.relay(result.Response)
	} else {
		discard(e.proxy.clock, result.Response)
	}
	e.endAttempt(&a, result, outcome)
	if !result.StaleConn {
		admission.RecordOutcome(runner, outcome)
	}
	if e.clientGone {
		e.abort()
	}
	return done
}

// startAttempt prepares an attempt and records it as sent in the runner
// statistics.
func (e *exchange) startAttempt(admission *balancer.Admission, runner *snapshot.Runner, startedAt clock.Instant) attempt {
	a := attempt{
		admission: admission, runner: runner, arm: admission.Arm(), startedAt: startedAt, number: e.proxy.attemptSeq.Add(1), resumes: e.events.Last().IsSet(),
		request: upstream.Attempt{
			Request: e.upstreamRequest, RunnerID: runner.ID, Address: runner.Address,
			TimeLeft: e.deadline.Since(startedAt), Priority: e.balancerRequest.Priority(),
			Service: admission.Service(), AtMostOnce: !e.route.Idempotent(),
		},
	}
	if a.resumes {
		a.request.LastEventID = e.events.Last().String()
	}
	e.checkAttempt(runner, a.request.TimeLeft, startedAt)
	e.proxy.stats.RequestSent(runner.ID, runnerstats.SentRequest{
		Service: admission.Service(), Number: a.number, Tokens: e.balancerRequest.PartTokens, Priority: e.balancerRequest.Priority(),
		LatencyTarget: e.route.LatencyTarget(),
	}, startedAt)
	return a
}

// readRunnerHeaders records what a runner reports in its response headers: its
// load and its remaining warm-up time.
func (e *exchange) readRunnerHeaders(runner *snapshot.Runner, resp *http.Response) {
	if resp == nil {
		return
	}
	now := e.proxy.clock.Now()
	if load := resp.Header.Get(upstream.LoadHeader); load != "" {
		e.proxy.stats.ObserveLoad(runner.ID, load, now)
	}
	if ms, err := strconv.ParseFloat(resp.Header.Get(upstream.WarmupHeader), 64); err == nil && ms > 0 {
		e.proxy.slowStart.Extend(runner.ID, now.Add(settings.Milliseconds(ms)), now)
	}
}

// reject sends an error response of this router. It has a Retry-After header if
// the quota is exhausted, the router is cut off, or the status is 503 and the
// route is known. If a runner's response has already begun, reject aborts.
func (e *exchange) reject(kind errkind.Kind, detail string) {
	if e.headerSent {
		e.abort()
	}
	e.checkRejection(kind)
	e.outcome, e.reason = kind.String(), detail
	resp := response.FromKind(kind, detail)
	switch {
	case kind == errkind.QuotaExceeded:
		resp = resp.WithRetryAfter(max(e.proxy.quotaRetryAfter, minRetryAfter))
	case kind == errkind.OutOfContact:
		resp = resp.WithRetryAfter(outOfContactRetryAfter)
	case resp.Status == http.StatusServiceUnavailable && e.route != nil:
		resp = resp.WithRetryAfter(max(retryAfter(kind, e.route.LatencyTarget()), minRetryAfter))
	}
	if e.closesConn() {
		resp = resp.WithClose()
	}
	e.rejected = true
	resp.Send(e.w)
}

// retryAfter returns the delay after which a retry may find a free runner: longer
// if all runners are overloaded than if none is available.
func retryAfter(kind errkind.Kind, latencyTarget time.Duration) time.Duration {
	if kind == errkind.Overloaded {
		return latencyTarget / 2
	}
	return latencyTarget / 8
}

// closesConn reports whether the connection is closed after the response: the
// router is draining, or few connection slots are free for other clients.
func (e *exchange) closesConn() bool {
	return e.proxy.draining.Load() || (e.conn != nil && e.conn.slots.nearlyFull())
}

// abort closes the connection so that a partly sent response does not look
// complete. An HTTP/1.0 client may take the end of the connection for the end of
// the response, so its connection is reset.
func (e *exchange) abort() {
	if e.conn != nil && e.headerSent && !e.req.ProtoAtLeast(1, 1) {
		e.conn.resetOnClose()
	}
	response.Abort()
}
