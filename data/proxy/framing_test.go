package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/base/settings"
	"onyxwell/control/config"
	"onyxwell/data/upstream"
	"onyxwell/data/upstreamtest"
)

// sealedResponseHead is the head of a runner's success, without framing fields and
// the empty line at its end.
const sealedResponseHead = "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: s\r\n"

// TestStream_resumesOverShorterContentLength resumes a stream at a runner whose
// events are longer: the Content-Length of the first response must not truncate it.
func TestStream_resumesOverShorterContentLength(t *testing.T) {
	first := upstreamtest.Raw(sealedResponseHead+"Content-Length: 63\r\n\r\n"+eventText(1, 1), false)
	longer := "id: 2\ndata: token 2 token 2 token 2 token\n\n"
	second := upstreamtest.Raw(sealedResponseHead+"Content-Length: 64\r\n\r\n"+longer+eventText(3, 3), true)
	p, _, _ := newTestProxyWithPair(t, 10, first, second)
	if got := p.do("/again/x", "x"); got.err != nil || got.body != eventText(1, 1)+longer+eventText(3, 3) {
		t.Fatalf("%+v", got)
	}
}

// TestStream_withoutIDsIsNotResumed breaks a stream off after events without ids:
// another runner would repeat them.
func TestStream_withoutIDsIsNotResumed(t *testing.T) {
	p, _, two := newTestProxyWithPair(t, 10, upstreamtest.Raw(sealedResponseHead+"Transfer-Encoding: chunked\r\n\r\n9\r\ndata: a\n\n\r\n", false),
		upstreamtest.Raw(sealedResponseHead+"Content-Length: 18\r\n\r\ndata: a\n\ndata: b\n\n", true))
	if got := p.do("/again/x", "x"); got.err == nil || strings.Count(got.body, "data: a") > 1 {
		t.Fatalf("%+v after %d requests to the second runner", got, len(two.Requests()))
	}
}

// doRaw sends text and returns everything received until the connection ends.
func (p *testProxy) doRaw(text string) (string, error) {
	conn := p.dial()
	_, _ = io.WriteString(conn, text)
	got, err := io.ReadAll(conn)
	return string(got), err
}

// TestStream_brokenResetsHTTP10Client breaks a stream off to an HTTP/1.0 client,
// which takes the end of the connection for the end of the stream: the connection
// must be reset.
func TestStream_brokenResetsHTTP10Client(t *testing.T) {
	text := "POST /stream/x HTTP/1.0\r\n" + hostLine + badAttemptLine + "Content-Length: 1\r\n\r\nx"
	complete := newTestProxy(t, 10, upstreamtest.Start(t, upstreamtest.EventStream("s", 1, 2, true)))
	if got, err := complete.doRaw(text); err != nil || !strings.HasSuffix(got, eventText(1, 2)) {
		t.Fatalf("%q, %v", got, err)
	}
	broken := newTestProxy(t, 10, upstreamtest.Start(t, upstreamtest.EventStream("s", 1, 2, false)))
	if got, err := broken.doRaw(text); err == nil {
		t.Fatalf("a broken stream looks complete: %q", got)
	}
}

// TestProxy_headKeepsContentLength sends HEAD requests: the Content-Length of the
// runner must be forwarded, and none added.
func TestProxy_headKeepsContentLength(t *testing.T) {
	for path, frame := range map[string]string{"/safe/x": "Content-Length: 7\r\n", "/stream/x": "Content-Length: 7\r\n", "/once/x": ""} {
		runner := upstreamtest.Start(t, upstreamtest.Raw(sealedResponseHead+frame+"\r\n", true))
		conn := newTestProxy(t, 10, runner).dial()
		_, _ = io.WriteString(conn, "HEAD "+path+" HTTP/1.1\r\n"+hostLine+badAttemptLine+"\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: "HEAD"})
		if err != nil || resp.StatusCode != 200 || "Content-Length: "+resp.Header.Get("Content-Length")+"\r\n" != frame && frame != "" || frame == "" && resp.ContentLength >= 0 {
			t.Errorf("%s: %+v, %v", path, resp, err)
		}
	}
}

// TestProxy_answersExpectContinue has a client wait for 100 Continue: the router
// must send it, not take the body for a request head, and not forward the Expect
// header.
func TestProxy_answersExpectContinue(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Raw("HTTP/1.1 103 Early Hints\r\n\r\n"+sealedResponseHead+"Content-Length: 2\r\n\r\nok", true))
	conn := newTestProxy(t, 10, runner).dial()
	reader := bufio.NewReader(conn)
	for _, body := range []string{"content-length: 1\ncontent-length: 2\n\n", "ok"} {
		_, _ = io.WriteString(conn, "POST /once/x HTTP/1.1\r\n"+hostLine+badAttemptLine+"Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n")
		if resp, err := http.ReadResponse(reader, nil); err != nil || resp.StatusCode != http.StatusContinue {
			t.Fatalf("%+v, %v", resp, err)
		}
		_, _ = io.WriteString(conn, "28\r\n"+body+strings.Repeat(" ", 0x28-len(body))+"\r\n0\r\n\r\n")
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%+v, %v", resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	for _, seen := range runner.Requests() {
		if seen.Header.Get("Expect") != "" {
			t.Errorf("%+v", seen)
		}
	}
}

// TestProxy_unreadBodyIsNotARequest sends a request that is rejected before its body
// is read: a request in the body must not be served, and the one after it must be.
func TestProxy_unreadBodyIsNotARequest(t *testing.T) {
	for _, expects := range []string{"", "Expect: 100-continue\r\n"} {
		runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
		conn := newTestProxy(t, 10, runner).dial()
		reader := bufio.NewReader(conn)
		_, _ = io.WriteString(conn, "POST /nowhere HTTP/1.1\r\n"+hostLine+badAttemptLine+expects+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(smuggledRequest)))
		if expects == "" {
			_, _ = io.WriteString(conn, smuggledRequest+goodRequest)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != 404 || resp.Close != (expects != "") {
			t.Fatalf("%q: %+v, %v", expects, resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if expects != "" {
			continue
		}
		resp, err = http.ReadResponse(reader, nil)
		if err != nil || resp.StatusCode != 200 || countRequests(runner) != 1 || runner.Requests()[0].AttemptID != "good" {
			t.Fatalf("%+v, %v, %+v", resp, err, runner.Requests())
		}
	}
}

// TestProxy_pipelinedRequests sends requests before the response to the previous
// one. Their heads are not scanned, so those with a Transfer-Encoding, whose framing
// may be ambiguous, must not reach a runner.
func TestProxy_pipelinedRequests(t *testing.T) {
	chunks := "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Transfer-Encoding: chunked\r\n%s\r\n2\r\nab\r\n0\r\n\r\n"
	cases := []struct {
		second string
		status int
	}{{goodRequest, 200}, {fmt.Sprintf(chunks, ""), 503}, {fmt.Sprintf(chunks, "Content-Length: 5\r\n"), 503}}
	for _, tc := range cases {
		runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
		conn := newTestProxy(t, 10, runner).dial()
		_, _ = io.WriteString(conn, goodRequest+tc.second+goodRequest)
		reader := bufio.NewReader(conn)
		for index, status := range []int{200, tc.status} {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil || resp.StatusCode != status || resp.Close != (status != 200) {
				t.Fatalf("response %d, %q: %+v, %v", index, tc.second, resp, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		if tc.status == 200 {
			continue
		}
		if rest, _ := io.ReadAll(reader); len(rest) > 0 || countRequests(runner) != 1 {
			t.Errorf("%q: followed by %q, %d requests reached the runner", tc.second, rest, countRequests(runner))
		}
	}
}

// endlessBody is a body that never ends.
type endlessBody struct{}

func (endlessBody) Read(buffer []byte) (int, error) { return len(buffer), nil }
func (endlessBody) Close() error                    { return nil }

// TestRelay_endlessResponseIsInvalid relays a response that exceeds the size limit,
// with and without a Content-Length.
func TestRelay_endlessResponseIsInvalid(t *testing.T) {
	e := &exchange{proxy: New(Options{Clock: clock.NewMonotonic(), Log: scope.NewLogger("error", io.Discard), Limits: settings.Limits{MemoryMB: 8}}), route: &config.Route{}}
	for _, length := range []int64{-1, 1 << 40} {
		if outcome, done := e.relay(&http.Response{StatusCode: 200, Body: endlessBody{}, ContentLength: length}); outcome != upstream.InvalidResponse || done {
			t.Errorf("length %d: %v, %v", length, outcome, done)
		}
	}
}
