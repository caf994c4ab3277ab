package proxy

import (
	"fmt"
	"strings"
	"testing"

	"onyxwell/data/upstreamtest"
)

// newTestProxyWithPair returns a testProxy with two runners. The second is draining
// until the first has received a request, so that the first attempt goes to the
// first runner.
func newTestProxyWithPair(t *testing.T, retryReserve float64, first upstreamtest.Step, second upstreamtest.Step) (*testProxy, *upstreamtest.Runner, *upstreamtest.Runner) {
	t.Helper()
	var p *testProxy
	markReady := func() {
		p.runners[1].Draining = false
		p.publishRunners()
	}
	one := upstreamtest.Start(t, upstreamtest.Before(markReady, first))
	two := upstreamtest.Start(t, second)
	p = newTestProxy(t, retryReserve, one, two)
	p.runners[1].Draining = true
	p.publishRunners()
	return p, one, two
}

// eventText returns the events with the ids first to last, as EventStream sends
// them.
func eventText(first int, last int) string {
	text := ""
	for number := first; number <= last; number++ {
		text += fmt.Sprintf("id: %d\ndata: token %d\n\n", number, number)
	}
	return text
}

func TestStream_isRelayed(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.EventStream("seal", 1, 5, true))
	got := newTestProxy(t, 10, runner).do("/stream/x", "x")
	if got.status != 200 || got.err != nil || got.body != eventText(1, 5) || got.header.Get("Onyxwell-Server-Seal") != "seal" {
		t.Fatalf("%+v", got)
	}
}

// TestStream_resumesAfterBreak lets a stream break off after three events: another
// runner must resume it after the third, and the client keeps the first response's
// header.
func TestStream_resumesAfterBreak(t *testing.T) {
	p, _, second := newTestProxyWithPair(t, 10, upstreamtest.EventStream("seal-1", 1, 3, false), upstreamtest.EventStream("seal-2", 4, 6, true))
	got := p.do("/again/x", "x")
	if got.err != nil || got.body != eventText(1, 6) || got.header.Get("Onyxwell-Server-Seal") != "seal-1" {
		t.Fatalf("%+v", got)
	}
	if after := second.Requests()[0].Header.Get("Last-Event-Id"); after != "3" {
		t.Fatalf("the second runner was asked to resume after %q", after)
	}
}

// TestStream_abortsUnresumable breaks streams off in ways that can't be resumed:
// the client must see that they are incomplete.
func TestStream_abortsUnresumable(t *testing.T) {
	cases := []struct {
		name          string
		path          string
		first, second upstreamtest.Step
	}{
		{"not resumable", "/stream/x", upstreamtest.EventStream("s", 1, 3, false), upstreamtest.EventStream("s", 4, 6, true)},
		{"gap in the ids", "/stream/x", upstreamtest.Raw(gappedStream, true), upstreamtest.EventStream("s", 2, 6, true)},
		{"reset without a body length", "/stream/x", upstreamtest.Reset(sealedResponseHead + "\r\n" + eventText(1, 3)), upstreamtest.EventStream("s", 4, 6, true)},
		{"end within an event", "/stream/x", upstreamtest.Raw(sealedResponseHead+"\r\n"+eventText(1, 2)+"id: 3\n", false), upstreamtest.EventStream("s", 3, 6, true)},
		{"resumed at the wrong event", "/again/x", upstreamtest.EventStream("s", 1, 3, false), upstreamtest.EventStream("s", 1, 6, true)},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p, _, _ := newTestProxyWithPair(t, 10, tc.first, tc.second)
			got := p.do(tc.path, "x")
			if got.err == nil {
				t.Errorf("the broken stream looks complete: %q", got.body)
			}
			if !strings.HasPrefix(eventText(1, 3), got.body) {
				t.Errorf("events after the break were forwarded: %q", got.body)
			}
		})
	}
}

// gappedStream is a stream whose event ids jump from 1 to 3.
const gappedStream = "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
	"15\r\nid: 1\ndata: token 1\n\n\r\n15\r\nid: 3\ndata: token 3\n\n\r\n0\r\n\r\n"

func TestStream_resumedByClient(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.EventStream("s", 8, 9, true))
	got := newTestProxy(t, 10, runner).do("/again/x", "x", "Last-Event-Id", "7")
	if got.err != nil || got.body != eventText(8, 9) || runner.Requests()[0].Header.Get("Last-Event-Id") != "7" {
		t.Fatalf("%+v", got)
	}
}
