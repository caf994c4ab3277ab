package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"onyxwell/data/upstreamtest"
)

const (
	hostLine        = "Host: shop.example\r\n"
	badAttemptLine  = "Onyxwell-Attempt-Id: bad\r\n"
	smuggledRequest = "POST /once/inner HTTP/1.1\r\n" + hostLine + "Onyxwell-Attempt-Id: inner\r\nContent-Length: 0\r\n\r\n"
	goodRequest     = "POST /once/good HTTP/1.1\r\n" + hostLine + "Onyxwell-Attempt-Id: good\r\nContent-Length: 2\r\n\r\nok"
)

// hostileRequests are requests that must not reach a runner, with the statuses of
// their responses.
var hostileRequests = []struct {
	name, text string
	status     int
}{
	{"two lengths", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
	{"the same length twice", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab", 400},
	{"two lengths in one field", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Content-Length: 2, 2\r\n\r\nab", 400},
	{"a signed length", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Content-Length: +2\r\n\r\nab", 400},
	{"a length, then a chunked coding", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggledRequest, 400},
	{"a chunked coding, then a length", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "transfer-encoding: chunked\r\nCONTENT-LENGTH: 4\r\n\r\n5c\r\n" + smuggledRequest, 400},
	{"a space before the colon", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Content-Length : 2\r\n\r\n" + smuggledRequest, 400},
	{"an unsupported coding", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Transfer-Encoding: gzip, chunked\r\n\r\n" + smuggledRequest, 501},
	{"two codings", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n" + smuggledRequest, 501},
	{"a folded first field", "POST /once/x HTTP/1.1\r\n Content-Length: 2\r\n" + hostLine + badAttemptLine + "\r\nab", 400},
	{"an absolute target", "GET http://shop.example/once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "\r\n", 400},
	{"an asterisk target", "OPTIONS * HTTP/1.1\r\n" + hostLine + badAttemptLine + "\r\n", 400},
	{"an authority target", "CONNECT shop.example:80 HTTP/1.1\r\n" + hostLine + badAttemptLine + "\r\n", 400},
	{"a control byte", "GET /once/\x01 HTTP/1.1\r\n" + hostLine + badAttemptLine + "\r\n", 400},
	{"a space in the target", "GET /once/a b HTTP/1.1\r\n" + hostLine + badAttemptLine + "\r\n", 400},
	{"an empty authority", "GET //once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "\r\n", 400},
	{"dot segments", "GET /safe/../once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "\r\n", 400},
	{"percent-encoded dot segments", "GET /safe/%2e%2E/once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "\r\n", 400},
	{"a fragment", "GET /once/x#/safe/ HTTP/1.1\r\n" + hostLine + badAttemptLine + "\r\n", 400},
	{"no host", "GET /once/x HTTP/1.1\r\n" + badAttemptLine + "\r\n", 400},
	{"two hosts", "GET /once/x HTTP/1.1\r\n" + hostLine + "Host: other\r\n" + badAttemptLine + "\r\n", 400},
	{"no attempt id", "GET /once/x HTTP/1.1\r\n" + hostLine + "\r\n", 400},
	{"two attempt ids", "GET /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + badAttemptLine + "\r\n", 400},
	{"a body over the limit", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Content-Length: 101\r\n\r\n" + strings.Repeat("x", 101), 413},
	{"a chunked body over the limit", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Transfer-Encoding: chunked\r\n\r\n65\r\n" + strings.Repeat("x", 101) + "\r\n0\r\n\r\n", 413},
	{"a head over the limit", "GET /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "X: " + strings.Repeat("x", 2000) + "\r\n\r\n", 431},
	{"a chunk without its line end", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Transfer-Encoding: chunked\r\n\r\n2\r\nabXX" + smuggledRequest, 400},
	{"an invalid chunk size", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n", 400},
	{"no HTTP", "\x16\x03\x01 hello\r\n\r\n", 400},
}

// dial opens a client connection that is closed at the end of the test.
func (p *testProxy) dial() net.Conn {
	conn, err := net.Dial("tcp", p.server.Listener.Addr().String())
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// TestProxy_hostileRequests sends each hostile request alone and with a valid one
// right after it on the connection. Each connection must be closed after one error
// response, so that only the last, separate valid request reaches the runner.
func TestProxy_hostileRequests(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	p := newTestProxy(t, 10, runner)
	p.setConfig(2, strings.Replace(configDocument, `"idle_ms":15000`, `"idle_ms":2000`, 1))
	for _, tc := range hostileRequests {
		t.Run(tc.name, func(t *testing.T) {
			for _, behind := range []string{"", goodRequest} {
				conn := p.dial()
				_, _ = io.WriteString(conn, tc.text+behind)
				reader := bufio.NewReader(conn)
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Errorf("%v", err)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				if resp.StatusCode != tc.status || !resp.Close {
					t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
				}
				if rest, _ := io.ReadAll(reader); len(rest) > 0 {
					t.Errorf("the error response is followed by %q", rest)
				}
			}
		})
	}
	if got := p.do("/once/x", "x"); got.status != 200 || countRequests(runner) != 1 {
		t.Fatalf("%+v after %d requests to the runner: %+v", got, countRequests(runner), runner.Requests())
	}
}

// TestProxy_smuggledRequestsStayInBody sends valid requests that some servers parse
// differently, as in request smuggling: each must arrive as one request.
func TestProxy_smuggledRequestsStayInBody(t *testing.T) {
	cases := []struct{ name, text, body string }{
		{"a request in a body", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(smuggledRequest)) + smuggledRequest, smuggledRequest},
		{"a request in chunks", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(smuggledRequest)) + smuggledRequest + "\r\n0\r\nX: y\r\n\r\n", smuggledRequest},
		{"lines without carriage returns", "POST /once/x HTTP/1.1\n" + strings.ReplaceAll(hostLine+badAttemptLine, "\r", "") + "Content-Length: 2\n\nab", "ab"},
		{"a folded value", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Content-Length:\r\n 2\r\n\r\nab", "ab"},
		{"fields named by Connection", "POST /once/x HTTP/1.1\r\n" + hostLine + badAttemptLine + "Connection: Content-Length, Onyxwell-Attempt-Id\r\nContent-Length: 2\r\n\r\nab", "ab"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
			conn := newTestProxy(t, 10, runner).dial()
			reader := bufio.NewReader(conn)
			for index, text := range []string{tc.text, goodRequest} {
				_, _ = io.WriteString(conn, text)
				resp, err := http.ReadResponse(reader, nil)
				if err != nil || resp.StatusCode != 200 {
					t.Fatalf("request %d: %+v, %v", index, resp, err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
			seen := runner.Requests()
			if len(seen) != 2 || seen[0].Body != tc.body || seen[0].AttemptID != "bad" || seen[1].Body != "ok" || seen[1].AttemptID != "good" {
				t.Errorf("%+v", seen)
			}
		})
	}
}

// TestProxy_rejectsEndlessHead writes a request head without an end until the
// router rejects it.
func TestProxy_rejectsEndlessHead(t *testing.T) {
	runner := upstreamtest.Start(t, upstreamtest.Respond(200, "s", "x"))
	conn := newTestProxy(t, 10, runner).dial()
	go func() {
		_, err := io.WriteString(conn, "GET /once/x HTTP/1.1\r\n"+hostLine+badAttemptLine)
		for err == nil {
			_, err = io.WriteString(conn, "X-More: "+strings.Repeat("x", 1000)+"\r\n")
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil && (resp.StatusCode != 431 || !resp.Close) || countRequests(runner) != 0 {
		t.Fatalf("%+v, %v", resp, err)
	}
}
