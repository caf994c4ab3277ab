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

// read takes the request in, within the spec's limits.
func (v *visit) read() error {
	v.seen = v.front.options.Frame.Now()
	if v.seen.Spec == nil {
		return errkind.Errorf(errkind.NotReady, "")
	}
	limits := v.seen.Spec.Limits
	if limits.MaxHeaderBytes > 0 && headBytes(v.request) > limits.MaxHeaderBytes {
		return errkind.Errorf(errkind.HeaderTooLarge, "over %d bytes", limits.MaxHeaderBytes)
	}
	if err := odd(v.request); err != nil {
		return err
	}
	path, _, _ := strings.Cut(v.request.RequestURI, "?")
	v.route = v.seen.Spec.Match(v.request.Host, path)
	if v.route == nil {
		return errkind.Errorf(errkind.NoRoute, "")
	}
	if v.front.leaving.Load() && v.since > clock.Instant(v.front.last.Load()) {
		return errkind.Errorf(errkind.Draining, "")
	}
	if told := v.request.Header[upstream.AttemptIDHeader]; len(told) != 1 || told[0] == "" {
		return errkind.Errorf(errkind.BadRequest, "there must be one "+upstream.AttemptIDHeader)
	}
	body, err := v.body(limits)
	if err != nil {
		return err
	}
	v.sent = &upstream.Request{
		Method: v.request.Method, Target: v.request.RequestURI, Host: v.request.Host,
		Header: upstream.EndToEndHeader(v.request.Header), Body: body,
		AttemptID: v.request.Header.Get(upstream.AttemptIDHeader),
	}
	v.time()
	v.asking = balancer.Request{Route: v.route, ArrivedAt: v.since, Deadline: v.limit}
	v.asking.BodyBytes = len(body)
	v.asking.ParsePromptParts(v.request.Header.Get(upstream.PromptPrefixHeader))
	v.asking.ParseTokenCount(v.request.Header.Get(upstream.TokenCountHeader))
	if after := v.request.Header.Get(upstream.LastEventIDHeader); after != "" {
		v.last, err = strconv.ParseInt(after, 10, 64)
		v.known = err == nil
	}
	return nil
}

func (v *visit) body(limits config.Limits) ([]byte, error) {
	if limits.MaxBodyBytes > 0 && v.request.ContentLength > limits.MaxBodyBytes {
		return nil, errkind.Errorf(errkind.BodyTooLarge, "over %d bytes", limits.MaxBodyBytes)
	}
	most := limits.MaxBodyBytes
	if most <= 0 {
		most = v.front.options.Scope.Settings.Limits.MemoryMB << 20 / 64
	}
	if v.request.ContentLength == 0 {
		return nil, nil
	}
	response.SetReadTimeout(v.writer, settings.Milliseconds(limits.IdleTimeoutMS))
	err := v.held.Read(http.MaxBytesReader(v.writer, v.request.Body, most), v.request.ContentLength, most)
	response.SetReadTimeout(v.writer, 0)
	if err == nil {
		return v.held.Bytes, nil
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

// time works out until when the request may take.
func (v *visit) time() {
	span := settings.Milliseconds(v.route.TimeoutMS)
	if left, err := strconv.ParseFloat(v.request.Header.Get(upstream.TimeLeftHeader), 64); err == nil && left > 0 {
		v.clientLeft = settings.Milliseconds(left)
		span = min(span, v.clientLeft)
	}
	v.limit = v.since.Add(span)
}

func headBytes(request *http.Request) int64 {
	size := len(request.Method) + len(request.RequestURI) + len(request.Host) + 20
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + 4
		}
	}
	return int64(size)
}
