package client

import (
	"math/rand/v2"
	"slices"
	"strings"

	"onyxwell/emulator/oracle"
)

const (
	// truncatedBody is the kind whose body is shorter than its Content-Length.
	truncatedBody = "closed-early"
	// unknownRoute is the kind that is a proper request but for its route.
	unknownRoute = "target-that-no-route-has"
)

// malformedRequests are requests that no client should send. Each must be answered
// with a 4xx or a closed connection, and must not reach a runner. Their names are
// the values of --rude-kind, and their order is that of the draw.
var malformedRequests = []struct {
	name string
	text func(req Request) string
}{
	{"two-lengths", func(req Request) string {
		return req.head("POST", req.target()) + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde"
	}},
	{"length-and-chunks", func(req Request) string {
		return req.head("POST", req.target()) + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n"
	}},
	{"length-and-chunks-around-another-request", func(req Request) string {
		return req.head("POST", req.target()) + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + req.head("GET", req.target()) + "\r\n"
	}},
	{"length-that-is-no-number", func(req Request) string {
		return req.head("POST", req.target()) + "Content-Length: +4\r\n\r\nabcd"
	}},
	{"blank-before-the-colon", func(req Request) string {
		return req.head("POST", req.target()) + "Content-Length : 4\r\n\r\nabcd"
	}},
	{"chunk-without-a-size", func(req Request) string {
		return req.head("POST", req.target()) + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabcd\r\n0\r\n\r\n"
	}},
	{"target-with-a-blank", func(req Request) string { return req.head("GET", req.target()+" more") + "\r\n" }},
	{"target-without-a-slash", func(req Request) string {
		return req.head("GET", strings.TrimPrefix(req.target(), "/")) + "\r\n"
	}},
	{"target-that-is-a-star", func(req Request) string { return req.head("GET", "*") + "\r\n" }},
	{"target-of-another-scheme", func(req Request) string { return req.head("GET", "http://"+Host+req.target()) + "\r\n" }},
	{"target-with-a-broken-escape", func(req Request) string { return req.head("GET", "/desk/safe/%zz") + "\r\n" }},
	{unknownRoute, func(req Request) string { return req.head("GET", "/nobody"+req.target()) + "\r\n" }},
	{"head-over-the-limit", func(req Request) string {
		return req.head("GET", req.target()) + "Filler: " + strings.Repeat("x", 40000) + "\r\n\r\n"
	}},
	{"body-over-the-limit", func(req Request) string {
		return req.head("POST", req.target()) + "Content-Length: 4194305\r\n\r\nabcd"
	}},
	{"no-host", func(req Request) string {
		return strings.Replace(req.head("GET", req.target()), "Host: "+Host+"\r\n", "", 1) + "\r\n"
	}},
	{"two-hosts", func(req Request) string {
		return req.head("GET", req.target()) + "Host: other.example\r\n\r\n"
	}},
	{"no-http", func(req Request) string {
		return "\x16\x03\x01\x02\x00\x01\x00" + req.Record.Attempt + "\r\n\r\n"
	}},
	{truncatedBody, func(req Request) string {
		return req.head("POST", req.target()) + "Content-Length: 100\r\n\r\nabcd"
	}},
}

// MalformedKinds returns the names of all kinds of malformed requests.
func MalformedKinds() []string {
	var names []string
	for _, malformed := range malformedRequests {
		names = append(names, malformed.name)
	}
	return names
}

// makeMalformed turns a request into a malformed one of the given kinds; no kinds
// are all. A router reads the truncated body to its end before it responds, so
// that request closes its side at once. Routers may be cut off if cutOff is set.
func (r *Request) makeMalformed(draw *rand.Rand, kinds []string, cutOff bool) {
	chosen := malformedRequests[draw.IntN(len(malformedRequests))]
	for len(kinds) > 0 && !slices.Contains(kinds, chosen.name) {
		chosen = malformedRequests[draw.IntN(len(malformedRequests))]
	}
	r.Record.Kind, r.Record.Note = oracle.Malformed, chosen.name
	r.raw = chosen.text(*r)
	r.Abandons, r.closeWrite = false, chosen.name == truncatedBody
	r.Record.MayBeOutOfContact = cutOff && chosen.name == unknownRoute
}
