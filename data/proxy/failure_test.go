package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/data/upstreamtest"
)

// TestProxy_deadlineDuringWait has all runners in doubt when the request's time ends: it
// gets a promise that holds, and a stream that was begun looks broken.
func TestProxy_deadlineDuringWait(t *testing.T) {
	for path, status := range map[string]int{"/safe/x": 503, "/again/x": 200} {
		one, two := upstreamtest.Start(t, upstreamtest.EventStream("s", 1, 2, false)), upstreamtest.Start(t, upstreamtest.HangUp())
		house := newTestProxy(t, 10, one, two)
		house.stats.Suspect("i-2", house.clock.Now())
		if status == 503 {
			house.stats.Suspect("i-1", house.clock.Now())
		}
		done := make(chan clientResponse)
		go func() { done <- house.do(path, "x", "Onyxwell-Time-Left-Ms", "50") }()
		var got clientResponse
		for over := false; !over; {
			select {
			case got = <-done:
				over = true
			default:
				if status == 503 || countRequests(one) > 0 && house.stats.State("i-1").InFlight == 0 {
					house.clock.AdvanceToNext()
				}
				runtime.Gosched()
			}
		}
		if got.status != status || (status == 200) != (got.err != nil) {
			t.Errorf("%s: %+v", path, got)
		}
	}
}

// TestProxy_resumedAfterDeadline has the router stand still until the request's time is
// over while the runner's answer, or its end, waits to be read: nothing that may
// have run is sent again, and nothing is promised.
func TestProxy_resumedAfterDeadline(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/again/x"} {
		for _, step := range []upstreamtest.Step{upstreamtest.Respond(200, "s", "id: 1\n\n"), upstreamtest.HangUp(), upstreamtest.Reset("H")} {
			var house *testProxy
			asleep := func() { house.clock.Advance(6 * clock.Second) }
			one, two := upstreamtest.Start(t, upstreamtest.Before(func() { asleep() }, step)), upstreamtest.Start(t, upstreamtest.Before(func() { asleep() }, step))
			house = newTestProxy(t, 10, one, two)
			got := house.do(path, "x")
			whole := got.status == 200 && got.header.Get("Onyxwell-Server-Seal") == "s" && (got.body == "id: 1\n\n" || got.err != nil)
			if countRequests(one, two) != 1 || !whole && got.status != 502 && got.status != 504 {
				t.Errorf("%s: %+v after %d arrivals", path, got, countRequests(one, two))
			}
		}
	}
}

// TestProxy_deadlineDuringRetry has the first runner turn the request away
// and the second be at work on it when the time ends.
func TestProxy_deadlineDuringRetry(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
		var made *testProxy
		made, one, two := newTestProxyWithPair(t, 10, upstreamtest.Reject(503), upstreamtest.Before(func() { made.clock.Advance(6 * clock.Second) }, upstreamtest.HangUp()))
		if got := made.do(path, "x"); got.status != 504 && got.status != 502 || countRequests(one) != 1 || countRequests(two) != 1 {
			t.Errorf("%s: %+v after %d and %d arrivals", path, got, countRequests(one), countRequests(two))
		}
	}
}

// TestStream_ignoresAbandonedRunner has a stream go on elsewhere after the first runner's
// went wrong, while the first one sends more: none of it comes in.
func TestStream_ignoresAbandonedRunner(t *testing.T) {
	var first io.Writer
	head, _, _ := strings.Cut(gappedStream, "\r\n\r\n")
	started := func(seen upstreamtest.Request, writer io.Writer) bool {
		first = writer
		return upstreamtest.Raw(head+"\r\n\r\n15\r\nid: 1\ndata: token 1\n\n\r\n15\r\nid: 9\ndata: token 9\n\n\r\n", true)(seen, writer)
	}
	talks := upstreamtest.Before(func() {
		_, _ = io.WriteString(first, "15\r\nid: 2\ndata: another\n\n\r\n0\r\n\r\n")
	}, upstreamtest.EventStream("seal-2", 2, 4, true))
	house, _, two := newTestProxyWithPair(t, 10, started, talks)
	got := house.do("/again/x", "x")
	if got.err != nil || got.body != eventText(1, 4) || two.Requests()[0].Header.Get("Last-Event-Id") != "1" {
		t.Fatalf("%+v", got)
	}
}

// TestProxy_clientDisconnects has the visitor leave while a runner is at work, and the
// runner break off then: nobody else is asked.
func TestProxy_clientDisconnects(t *testing.T) {
	var house *testProxy
	var leave func()
	one := upstreamtest.Start(t, upstreamtest.Before(func() { leave() }, upstreamtest.Reject(503)))
	two := upstreamtest.Start(t, upstreamtest.Before(func() { leave() }, upstreamtest.Reject(503)))
	house = newTestProxy(t, 10, one, two)
	link := house.dial()
	leave = func() {
		_ = link.Close()
		for house.proxy.InFlight() > 0 {
			runtime.Gosched()
		}
	}
	_, _ = io.WriteString(link, goodRequest)
	for countRequests(one, two) == 0 || house.proxy.InFlight() > 0 {
		runtime.Gosched()
	}
	if count := countRequests(one, two); count != 1 {
		t.Fatalf("%d arrivals", count)
	}
}

// TestDrain_keepsResponseUnderWay has the router told to leave, and the spec drop
// the route, while an answer is under way: it comes whole all the same.
func TestDrain_keepsResponseUnderWay(t *testing.T) {
	for _, path := range []string{"/once/x", "/stream/x"} {
		var house *testProxy
		trouble := func(seen upstreamtest.Request, writer io.Writer) bool {
			house.proxy.Drain(house.clock.Now())
			house.server.Config.SetKeepAlivesEnabled(false)
			go func() { _ = house.server.Config.Shutdown(context.Background()) }()
			house.setConfig(2, strings.ReplaceAll(configDocument, path[:len(path)-1], "/other/"))
			return upstreamtest.EventStream("s", 1, 5, true)(seen, writer)
		}
		house = newTestProxy(t, 10, upstreamtest.Start(t, trouble))
		if got := house.do(path, "x"); got.status != http.StatusOK || got.err != nil || got.body != eventText(1, 5) || !got.closes {
			t.Errorf("%s: %+v", path, got)
		}
	}
}

// instantClock is a clock whose spans are over at once.
type instantClock struct{ clock.Clock }

func (instantClock) After(clock.Span) <-chan struct{} {
	over := make(chan struct{})
	close(over)
	return over
}

// TestDiscard_doesNotWaitForSilentBody has a runner turn a request away and never send the
// rest of that answer: the request does not wait for it.
func TestDiscard_doesNotWaitForSilentBody(t *testing.T) {
	silent, runner := net.Pipe()
	defer runner.Close()
	defer silent.Close()
	discard(scope.New(scope.Options{Clock: instantClock{clock.NewFake()}}), &http.Response{Body: silent})
	discard(scope.New(scope.Options{}), &http.Response{Body: http.NoBody})
	discard(scope.New(scope.Options{}), nil)
}
