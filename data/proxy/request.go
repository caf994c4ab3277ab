package proxy

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
	"onyxwell/base/memquota"
	"onyxwell/base/response"
	"onyxwell/base/settings"
	"onyxwell/control/config"
	"onyxwell/data/balancer"
	"onyxwell/data/upstream"
)

// readRequest takes the request in, within the spec's limits.
func (e *exchange) readRequest() error {
	e.snapshot = e.proxy.options.Snapshots.Current()
	if e.snapshot.Config == nil {
		return errkind.Errorf(errkind.NotReady, "")
	}
	limits := e.snapshot.Config.Limits
	if limits.MaxHeaderBytes > 0 && headerBytes(e.request) > limits.MaxHeaderBytes {
		return errkind.Errorf(errkind.HeaderTooLarge, "over %d bytes", limits.MaxHeaderBytes)
	}
	if err := checkHead(e.request); err != nil {
		return err
	}
	path, _, _ := strings.Cut(e.request.RequestURI, "?")
	e.route = e.snapshot.Config.Match(e.request.Host, path)
	if e.route == nil {
		return errkind.Errorf(errkind.NoRoute, "")
	}
	if e.proxy.draining.Load() && e.arrivedAt > clock.Instant(e.proxy.acceptUntil.Load()) {
		return errkind.Errorf(errkind.Draining, "")
	}
	if told := e.request.Header[upstream.AttemptIDHeader]; len(told) != 1 || told[0] == "" {
		return errkind.Errorf(errkind.BadRequest, "there must be one "+upstream.AttemptIDHeader)
	}
	body, err := e.readBody(limits)
	if err != nil {
		return err
	}
	e.upstreamRequest = &upstream.Request{
		Method: e.request.Method, Target: e.request.RequestURI, Host: e.request.Host,
		Header: upstream.EndToEndHeader(e.request.Header), Body: body,
		AttemptID: e.request.Header.Get(upstream.AttemptIDHeader),
	}
	e.setDeadline()
	e.balancerRequest = balancer.Request{Route: e.route, ArrivedAt: e.arrivedAt, Deadline: e.deadline}
	e.balancerRequest.BodyBytes = len(body)
	e.balancerRequest.ParsePromptParts(e.request.Header.Get(upstream.PromptPrefixHeader))
	e.balancerRequest.ParseTokenCount(e.request.Header.Get(upstream.TokenCountHeader))
	if after := e.request.Header.Get(upstream.LastEventIDHeader); after != "" {
		e.lastEventID, err = strconv.ParseInt(after, 10, 64)
		e.hasLastEventID = err == nil
	}
	return nil
}

func (e *exchange) readBody(limits config.Limits) ([]byte, error) {
	if limits.MaxBodyBytes > 0 && e.request.ContentLength > limits.MaxBodyBytes {
		return nil, errkind.Errorf(errkind.BodyTooLarge, "over %d bytes", limits.MaxBodyBytes)
	}
	most := limits.MaxBodyBytes
	if most <= 0 {
		most = e.proxy.options.Scope.Settings.Limits.MemoryMB << 20 / 64
	}
	if e.request.ContentLength == 0 {
		return nil, nil
	}
	response.SetReadTimeout(e.writer, settings.Milliseconds(limits.IdleTimeoutMS))
	err := e.requestBody.Read(http.MaxBytesReader(e.writer, e.request.Body, most), e.request.ContentLength, most)
	response.SetReadTimeout(e.writer, 0)
	if err == nil {
		return e.requestBody.Bytes, nil
	}
	if errors.Is(err, memquota.ErrFull) {
		return nil, errkind.Errorf(errkind.OutOfMemory, "")
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, errkind.Errorf(errkind.BodyTooLarge, "over %d bytes", most)
	}
	var slow interface{ Timeout() bool }
	if errors.As(err, &slow) && slow.Timeout() {
		return nil, errkind.Errorf(errkind.RequestTimeout, "")
	}
	return nil, errkind.Errorf(errkind.BadRequest, "the body is not whole")
}

// setDeadline works out until when the request may take.
func (e *exchange) setDeadline() {
	span := settings.Milliseconds(e.route.TimeoutMS)
	if left, err := strconv.ParseFloat(e.request.Header.Get(upstream.TimeLeftHeader), 64); err == nil && left > 0 {
		e.clientTimeout = settings.Milliseconds(left)
		span = min(span, e.clientTimeout)
	}
	e.deadline = e.arrivedAt.Add(span)
}

func headerBytes(request *http.Request) int64 {
	size := len(request.Method) + len(request.RequestURI) + len(request.Host) + 20
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return int64(size)
}
