package client

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"onyxwell/data/upstream"
	"onyxwell/emulator/oracle"
)

// malformedRequests are requests that no client should send: each is answered with a 4xx or a
// closed connection, and reaches no runner.
var malformedRequests = []struct {
	name string
	text func(request Request) string
}{
	{"two-lengths", func(request Request) string {
		return request.head("POST", request.target()) + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde"
	}},
	{"length-and-chunks", func(request Request) string {
		return request.head("POST", request.target()) + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"
	}},
	{"length-and-chunks-around-another-request", func(request Request) string {
		return request.head("POST", request.target()) + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + request.head("GET", request.target()) + "\r\n"
	}},
	{"length-that-is-no-number", func(request Request) string {
		return request.head("POST", request.target()) + "Content-Length: +4\r\n\r\nabcd"
	}},
	{"blank-before-the-colon", func(request Request) string {
		return request.head("POST", request.target()) + "Content-Length : 4\r\n\r\nabcd"
	}},
	{"chunk-without-a-size", func(request Request) string {
		return request.head("POST", request.target()) + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n"
	}},
	{"target-with-a-blank", func(request Request) string { return request.head("GET", request.target()+" more") + "\r\n" }},
	{"target-without-a-slash", func(request Request) string {
		return request.head("GET", strings.TrimPrefix(request.target(), "/")) + "\r\n"
	}},
	{"target-that-is-a-star", func(request Request) string { return request.head("GET", "*") + "\r\n" }},
	{"target-of-another-scheme", func(request Request) string { return request.head("GET", "http://"+Host+request.target()) + "\r\n" }},
	{"target-with-a-broken-escape", func(request Request) string { return request.head("GET", "/desk/safe/%zz") + "\r\n" }},
	{"target-that-no-route-has", func(request Request) string { return request.head("GET", "/nobody"+request.target()) + "\r\n" }},
	{"head-over-the-limit", func(request Request) string {
		return request.head("GET", request.target()) + "Filler: " + strings.Repeat("x", 40000) + "\r\n\r\n"
	}},
	{"body-over-the-limit", func(request Request) string {
		return request.head("POST", request.target()) + "Content-Length: 4194305\r\n\r\nabcd"
	}},
	{"no-host", func(request Request) string {
		return strings.Replace(request.head("GET", request.target()), "Host: "+Host+"\r\n", "", 1) + "\r\n"
	}},
	{"two-hosts", func(request Request) string {
		return request.head("GET", request.target()) + "Host: other.example\r\n\r\n"
	}},
	{"no-http", func(request Request) string {
		return "\x16\x03\x01\x02\x00\x01\x00" + request.Record.Attempt + "\r\n\r\n"
	}},
	{"closed-early", func(request Request) string {
		return request.head("POST", request.target()) + "Content-Length: 100\r\n\r\nabcd"
	}},
}

// MalformedKinds are the names of all rude requests.
func MalformedKinds() []string {
	var names []string
	for _, kind := range malformedRequests {
		names = append(names, kind.name)
	}
	return names
}

func (r Request) target() string { return r.Record.Fingerprint.Target }

func (r Request) head(method string, target string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, Host,
		upstream.AttemptIDHeader, r.Record.Attempt, upstream.TimeLeftHeader, r.timeout.Milliseconds())
}

// makeMalformed makes a request a rude one. Those whose end the router waits for close
// their side at once.
func (r *Request) makeMalformed(drawn *rand.Rand, names []string) {
	chosen := malformedRequests[drawn.IntN(len(malformedRequests))]
	for len(names) > 0 && !slices.Contains(names, chosen.name) {
		chosen = malformedRequests[drawn.IntN(len(malformedRequests))]
	}
	r.Record.Kind, r.Record.Note = oracle.Malformed, chosen.name
	r.raw = chosen.text(*r)
	r.Abandons, r.closeWrite = false, chosen.name == "closed-early"
}
