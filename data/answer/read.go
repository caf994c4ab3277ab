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
func (v *visit) read() error {
	v.seen = v.front.options.Frame.Now()
	if v.seen.Spec == nil {
		return failure.Of(failure.Unready, "")
	}
	limits := v.seen.Spec.Limits
	if limits.MaxHeaderBytes > 0 && headBytes(v.request) > limits.MaxHeaderBytes {
		return failure.Of(failure.HeadTooLarge, "over %d bytes", limits.MaxHeaderBytes)
	}
	if err := odd(v.request); err != nil {
		return err
	}
	path, _, _ := strings.Cut(v.request.RequestURI, "?")
	v.route = v.seen.Spec.Match(v.request.Host, path)
	if v.route == nil {
		return failure.Of(failure.NoRoute, "")
	}
	if v.front.leaving.Load() && v.since > clock.Instant(v.front.last.Load()) {
		return failure.Of(failure.Leaving, "")
	}
	if told := v.request.Header[forward.AttemptHeader]; len(told) != 1 || told[0] == "" {
		return failure.Of(failure.BadRequest, "there must be one "+forward.AttemptHeader)
	}
	body, err := v.body(limits)
	if err != nil {
		return err
	}
	v.sent = &forward.Request{
		Method: v.request.Method, Target: v.request.RequestURI, Host: v.request.Host,
		Header: forward.PassedOn(v.request.Header), Body: body,
		Attempt: v.request.Header.Get(forward.AttemptHeader),
	}
	v.time()
	v.asking = admit.Asking{Route: v.route, Since: v.since, Limit: v.limit}
	v.asking.Bytes = len(body)
	v.asking.Prompt(v.request.Header.Get(forward.PrefixHeader))
	v.asking.Counted(v.request.Header.Get(forward.CountHeader))
	if after := v.request.Header.Get(forward.LastEventField); after != "" {
		v.last, err = strconv.ParseInt(after, 10, 64)
		v.known = err == nil
	}
	return nil
}

func (v *visit) body(limits spec.Limits) ([]byte, error) {
	if limits.MaxBodyBytes > 0 && v.request.ContentLength > limits.MaxBodyBytes {
		return nil, failure.Of(failure.BodyTooLarge, "over %d bytes", limits.MaxBodyBytes)
	}
	most := limits.MaxBodyBytes
	if most <= 0 {
		most = v.front.options.Scope.Boot.Limits.MemoryMB << 20 / 64
	}
	if v.request.ContentLength == 0 {
		return nil, nil
	}
	reply.ReadWithin(v.writer, boot.Milliseconds(limits.IdleMS))
	err := v.held.Read(http.MaxBytesReader(v.writer, v.request.Body, most), v.request.ContentLength, most)
	reply.ReadWithin(v.writer, 0)
	if err == nil {
		return v.held.Bytes, nil
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
func (v *visit) time() {
	span := boot.Milliseconds(v.route.GiveUpMS)
	if left, err := strconv.ParseFloat(v.request.Header.Get(forward.LeftHeader), 64); err == nil && left > 0 {
		v.clientLeft = boot.Milliseconds(left)
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
