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

// TestTimeEndsInAWait has all runners in doubt when the request's time ends: it
// gets a promise that holds, and a stream that was begun looks broken.
func TestTimeEndsInAWait(t *testing.T) {
	for path, status := range map[string]int{"/safe/x": 503, "/again/x": 200} {
		one, two := upstreamtest.Start(t, upstreamtest.EventStream("s", 1, 2, false)), upstreamtest.Start(t, upstreamtest.HangUp())
		house := newHouse(t, 10, one, two)
		house.board.Suspect("i-2", house.clock.Now())
		if status == 503 {
			house.board.Suspect("i-1", house.clock.Now())
		}
		done := make(chan told)
		go func() { done <- house.ask(path, "x", "Onyxwell-Time-Left-Ms", "50") }()
		var got told
		for over := false; !over; {
			select {
			case got = <-done:
				over = true
			default:
				if status == 503 || arrivals(one) > 0 && house.board.State("i-1").InFlight == 0 {
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

// TestWokenAfterItsTime has the router stand still until the request's time is
// over while the runner's answer, or its end, waits to be read: nothing that may
// have run is sent again, and nothing is promised.
func TestWokenAfterItsTime(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x", "/again/x"} {
		for _, step := range []upstreamtest.Step{upstreamtest.Respond(200, "s", "id: 1\n\n"), upstreamtest.HangUp(), upstreamtest.Reset("H")} {
			var house *house
			asleep := func() { house.clock.Advance(6 * clock.Second) }
			one, two := upstreamtest.Start(t, upstreamtest.Before(func() { asleep() }, step)), upstreamtest.Start(t, upstreamtest.Before(func() { asleep() }, step))
			house = newHouse(t, 10, one, two)
			got := house.ask(path, "x")
			whole := got.status == 200 && got.header.Get("Onyxwell-Server-Seal") == "s" && (got.body == "id: 1\n\n" || got.err != nil)
			if arrivals(one, two) != 1 || !whole && got.status != 502 && got.status != 504 {
				t.Errorf("%s: %+v after %d arrivals", path, got, arrivals(one, two))
			}
		}
	}
}

// TestTimeEndsInTheMiddleOfAResend has the first runner turn the request away
// and the second be at work on it when the time ends.
func TestTimeEndsInTheMiddleOfAResend(t *testing.T) {
	for _, path := range []string{"/once/x", "/safe/x", "/stream/x"} {
		var made *house
		made, one, two := pair(t, 10, upstreamtest.Reject(503), upstreamtest.Before(func() { made.clock.Advance(6 * clock.Second) }, upstreamtest.HangUp()))
		if got := made.ask(path, "x"); got.status != 504 && got.status != 502 || arrivals(one) != 1 || arrivals(two) != 1 {
			t.Errorf("%s: %+v after %d and %d arrivals", path, got, arrivals(one), arrivals(two))
		}
	}
}

// TestFirstRunnerTalksOn has a stream go on elsewhere after the first runner's
// went wrong, while the first one sends more: none of it comes in.
func TestFirstRunnerTalksOn(t *testing.T) {
	var first io.Writer
	head, _, _ := strings.Cut(gapped, "\r\n\r\n")
	started := func(seen upstreamtest.Request, writer io.Writer) bool {
		first = writer
		return upstreamtest.Raw(head+"\r\n\r\n15\r\nid: 1\ndata: token 1\n\n\r\n15\r\nid: 9\ndata: token 9\n\n\r\n", true)(seen, writer)
	}
	talks := upstreamtest.Before(func() {
		_, _ = io.WriteString(first, "15\r\nid: 2\ndata: another\n\n\r\n0\r\n\r\n")
	}, upstreamtest.EventStream("seal-2", 2, 4, true))
	house, _, two := pair(t, 10, started, talks)
	got := house.ask("/again/x", "x")
	if got.err != nil || got.body != events(1, 4) || two.Requests()[0].Header.Get("Last-Event-Id") != "1" {
		t.Fatalf("%+v", got)
	}
}

// TestVisitorGoesAway has the visitor leave while a runner is at work, and the
// runner break off then: nobody else is asked.
func TestVisitorGoesAway(t *testing.T) {
	var house *house
	var leave func()
	one := upstreamtest.Start(t, upstreamtest.Before(func() { leave() }, upstreamtest.Reject(503)))
	two := upstreamtest.Start(t, upstreamtest.Before(func() { leave() }, upstreamtest.Reject(503)))
	house = newHouse(t, 10, one, two)
	link := house.dial()
	leave = func() {
		_ = link.Close()
		for house.front.Running() > 0 {
			runtime.Gosched()
		}
	}
	_, _ = io.WriteString(link, good)
	for arrivals(one, two) == 0 || house.front.Running() > 0 {
		runtime.Gosched()
	}
	if count := arrivals(one, two); count != 1 {
		t.Fatalf("%d arrivals", count)
	}
}

// TestLeavingAndNewsInTheMiddle has the router told to leave, and the spec drop
// the route, while an answer is under way: it comes whole all the same.
func TestLeavingAndNewsInTheMiddle(t *testing.T) {
	for _, path := range []string{"/once/x", "/stream/x"} {
		var house *house
		trouble := func(seen upstreamtest.Request, writer io.Writer) bool {
			house.front.Leave(house.clock.Now())
			house.server.Config.SetKeepAlivesEnabled(false)
			go func() { _ = house.server.Config.Shutdown(context.Background()) }()
			house.spec(2, strings.ReplaceAll(document, path[:len(path)-1], "/other/"))
			return upstreamtest.EventStream("s", 1, 5, true)(seen, writer)
		}
		house = newHouse(t, 10, upstreamtest.Start(t, trouble))
		if got := house.ask(path, "x"); got.status != http.StatusOK || got.err != nil || got.body != events(1, 5) || !got.closing {
			t.Errorf("%s: %+v", path, got)
		}
	}
}

// hasty is a clock whose spans are over at once.
type hasty struct{ clock.Clock }

func (hasty) After(clock.Span) <-chan struct{} {
	over := make(chan struct{})
	close(over)
	return over
}

// TestSilentRestOfARefusal has a runner turn a request away and never send the
// rest of that answer: the request does not wait for it.
func TestSilentRestOfARefusal(t *testing.T) {
	silent, runner := net.Pipe()
	defer runner.Close()
	defer silent.Close()
	discard(scope.New(scope.Options{Clock: hasty{clock.NewFake()}}), &http.Response{Body: silent})
	discard(scope.New(scope.Options{}), &http.Response{Body: http.NoBody})
	discard(scope.New(scope.Options{}), nil)
}
