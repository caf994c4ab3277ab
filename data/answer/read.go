package answer

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"onyxwell/base/boot"
	"onyxwell/base/clock"
	"onyxwell/base/failure"
	"onyxwell/base/quota"
	"onyxwell/base/reply"
	"onyxwell/control/spec"
	"onyxwell/data/admit"
	"onyxwell/data/forward"
)

// read takes the request in, within the spec's limits.
func (visit *visit) read() error {
	visit.seen = visit.front.options.Frame.Now()
	if visit.seen.Spec == nil {
		return failure.Of(failure.Unready, "")
	}
	limits := visit.seen.Spec.Limits
	if limits.MaxHeaderBytes > 0 && headBytes(visit.request) > limits.MaxHeaderBytes {
		return failure.Of(failure.HeadTooLarge, "over %d bytes", limits.MaxHeaderBytes)
	}
	if err := odd(visit.request); err != nil {
		return err
	}
	path, _, _ := strings.Cut(visit.request.RequestURI, "?")
	visit.route = visit.seen.Spec.Match(visit.request.Host, path)
	if visit.route == nil {
		return failure.Of(failure.NoRoute, "")
	}
	if visit.front.leaving.Load() && visit.since > clock.Instant(visit.front.last.Load()) {
		return failure.Of(failure.Leaving, "")
	}
	if told := visit.request.Header[forward.AttemptHeader]; len(told) != 1 || told[0] == "" {
		return failure.Of(failure.BadRequest, "there must be one "+forward.AttemptHeader)
	}
	body, err := visit.body(limits)
	if err != nil {
		return err
	}
	visit.sent = &forward.Request{
		Method: visit.request.Method, Target: visit.request.RequestURI, Host: visit.request.Host,
		Header: forward.PassedOn(visit.request.Header), Body: body,
		Attempt: visit.request.Header.Get(forward.AttemptHeader),
	}
	visit.time()
	visit.asking = admit.Asking{Route: visit.route, Since: visit.since, Limit: visit.limit}
	visit.asking.Bytes = len(body)
	visit.asking.Prompt(visit.request.Header.Get(forward.PrefixHeader))
	visit.asking.Counted(visit.request.Header.Get(forward.CountHeader))
	if after := visit.request.Header.Get(forward.LastEventField); after != "" {
		visit.last, err = strconv.ParseInt(after, 10, 64)
		visit.known = err == nil
	}
	return nil
}

func (visit *visit) body(limits spec.Limits) ([]byte, error) {
	if limits.MaxBodyBytes > 0 && visit.request.ContentLength > limits.MaxBodyBytes {
		return nil, failure.Of(failure.BodyTooLarge, "over %d bytes", limits.MaxBodyBytes)
	}
	most := limits.MaxBodyBytes
	if most <= 0 {
		most = visit.front.options.Scope.Boot.Limits.MemoryMB << 20 / 64
	}
	if visit.request.ContentLength == 0 {
		return nil, nil
	}
	reply.ReadWithin(visit.writer, boot.Milliseconds(limits.IdleMS))
	err := visit.held.Read(http.MaxBytesReader(visit.writer, visit.request.Body, most), visit.request.ContentLength, most)
	reply.ReadWithin(visit.writer, 0)
	if err == nil {
		return visit.held.Bytes, nil
	}
	if errors.Is(err, quota.ErrFull) {
		return nil, failure.Of(failure.NoMemory, "")
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, failure.Of(failure.BodyTooLarge, "over %d bytes", most)
	}
	var slow interface{ Timeout() bool }
	if errors.As(err, &slow) && slow.Timeout() {
		return nil, failure.Of(failure.TooSlow, "")
	}
	return nil, failure.Of(failure.BadRequest, "the body is not whole")
}

// time works out until when the request may take.
func (visit *visit) time() {
	span := boot.Milliseconds(visit.route.GiveUpMS)
	if left, err := strconv.ParseFloat(visit.request.Header.Get(forward.LeftHeader), 64); err == nil && left > 0 {
		visit.clientLeft = boot.Milliseconds(left)
		span = min(span, visit.clientLeft)
	}
	visit.limit = visit.since.Add(span)
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
