// Package client plays clients over real connections: requests drawn from a
// seed, proper ones and rude ones, whose answers are taken in byte by byte.
package client

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/data/upstream"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/piece"
	"onyxwell/emulator/runner"
)

// Host is the host that all requests name.
const Host = "emulator.example"

// Client sends one request after another, over connections that it keeps or not.
type Client struct {
	// RouterAddress gives the address of a router.
	RouterAddress func(router int) string
	// Grace is how long the client waits beyond the time that it tells.
	Grace   clock.Span
	Checker *oracle.Checker

	conn   net.Conn
	reader *bufio.Reader
}

// Generator says what requests are drawn from.
type Generator struct {
	Seed uint64
	// Routers is how many routers there are to choose from.
	Routers  int
	Services []string
	// Timeout is the time that most requests tell; one in ten tells a tenth.
	Timeout clock.Span
	// MalformedRate is the part of the requests, 0 to 1, that no client should send;
	// MalformedKinds are those that are drawn, none is all.
	MalformedRate  float64
	MalformedKinds []string
}

// Request is one request, drawn from the seed and its number alone.
type Request struct {
	Record oracle.Request
	// Abandons has the client close its connection before the answer.
	Abandons bool
	body     string
	chunked  bool
	// newConn wants a new connection, expects asks to be told that the body is wanted.
	newConn        bool
	expectContinue bool
	timeout        clock.Span
	// Router is the number of the router that the request goes to.
	Router       int
	promptPrefix string
	// raw are the bytes of a rude request; shuts closes the client's side after
	// them.
	raw        string
	closeWrite bool
}

var kinds = []oracle.Kind{oracle.Safe, oracle.Unsafe, oracle.Unsafe, oracle.Stream, oracle.Resumable}

// Request draws a request; the same seed and number give the same one.
func (g Generator) Request(number int) Request {
	seed := g.Seed
	drawn := rand.New(rand.NewPCG(seed, uint64(number)))
	kind, service := kinds[drawn.IntN(len(kinds))], g.Services[drawn.IntN(len(g.Services))]
	id := fmt.Sprintf("%016x", piece.Hash("attempt", fmt.Sprint(seed), fmt.Sprint(number)))
	drawing := Request{
		chunked: drawn.IntN(4) == 0, newConn: drawn.IntN(5) == 0, Abandons: drawn.IntN(100) == 0, expectContinue: drawn.IntN(50) == 0,
		timeout: g.Timeout, Router: drawn.IntN(g.Routers),
		promptPrefix: fmt.Sprintf("%x:%d,%x:%d", drawn.IntN(20), 100, number, 50),
	}
	if drawn.IntN(10) == 0 {
		drawing.timeout /= 10
	}
	size := drawn.IntN(200)
	if drawn.IntN(50) == 0 {
		size = 100000 + drawn.IntN(200000)
	}
	drawing.body = strings.Repeat(id+" ", size/len(id)+1)[:size]
	method := http.MethodPost
	if drawn.IntN(5) == 0 {
		method, drawing.body = http.MethodGet, ""
	}
	target := fmt.Sprintf("/%s/%s/%d?of=%s", service, kind, number, id)
	drawing.Record = oracle.Request{Attempt: id, Kind: kind, Service: service, Fingerprint: runner.FingerprintOf(method, target, Host, []byte(drawing.body))}
	if total := piece.LineCount(id); kind == oracle.Resumable && total > 1 && drawn.IntN(4) == 0 {
		drawing.Record.LastEventID = 1 + drawn.IntN(total-1)
	}
	if drawn.Float64() < g.MalformedRate {
		drawing.makeMalformed(drawn, g.MalformedKinds)
	}
	return drawing
}

// Text gives the request's bytes.
func (r Request) Text() string {
	if r.raw != "" {
		return r.raw
	}
	var text strings.Builder
	asked := r.Record
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", asked.Fingerprint.Method, asked.Fingerprint.Target, Host,
		upstream.AttemptIDHeader, asked.Attempt, upstream.TimeLeftHeader, r.timeout.Milliseconds())
	fmt.Fprintf(&text, "Onyxwell-Model: m\r\n%s: 150,20\r\n%s: %s\r\n", upstream.TokenCountHeader, upstream.PromptPrefixHeader, r.promptPrefix)
	if asked.LastEventID > 0 {
		fmt.Fprintf(&text, "%s: %d\r\n", upstream.LastEventIDHeader, asked.LastEventID)
	}
	if r.expectContinue && r.body != "" {
		text.WriteString("Expect: 100-continue\r\n")
	}
	if r.chunked && r.body != "" {
		half := len(r.body) / 2
		text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for _, chunk := range []string{r.body[:half], r.body[half:]} {
			if chunk != "" {
				fmt.Fprintf(&text, "%x\r\n%s\r\n", len(chunk), chunk)
			}
		}
		text.WriteString("0\r\n\r\n")
		return text.String()
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	return text.String()
}

// Close ends the connection and gives the bytes that came while no request
// waited.
func (c *Client) Close() string {
	if c.conn == nil {
		return ""
	}
	extra := ""
	if buffered := c.reader.Buffered(); buffered > 0 {
		loose, _ := c.reader.Peek(buffered)
		extra = string(loose)
	}
	_ = c.conn.Close()
	c.conn, c.reader = nil, nil
	return extra
}

// Send sends a request and gives what came of it.
func (c *Client) Send(top scope.Scope, request Request) oracle.Response {
	got := oracle.Response{Attempt: request.Record.Attempt}
	if request.newConn {
		if got.ExtraBytes = c.Close(); got.ExtraBytes != "" {
			return got
		}
	}
	limited, release := top.WithTimeout(request.timeout + c.Grace)
	defer release()
	if c.conn == nil {
		opened, err := (&net.Dialer{}).DialContext(limited, "tcp", c.RouterAddress(request.Router))
		if err != nil {
			got.Note = err.Error()
			return got
		}
		c.conn, c.reader = opened, bufio.NewReader(opened)
	}
	conn := c.conn
	// The earlier of its times ends the connection, whatever has come by then.
	ends := limited
	if request.Abandons {
		leaves, release := limited.WithTimeout(request.timeout / 100)
		defer release()
		ends = leaves
	}
	stop := context.AfterFunc(ends, func() { _ = conn.Close() })
	c.Checker.RecordRequest(request.Record)
	if _, err := io.WriteString(conn, request.Text()); err != nil {
		got.Note = err.Error()
	}
	if half, able := conn.(*net.TCPConn); able && request.closeWrite {
		_ = half.CloseWrite()
	}
	c.read(request, &got)
	if !stop() {
		// It was closed as the answer came: the next request wants another.
		c.Close()
	}
	return got
}

// read takes an answer in.
func (c *Client) read(request Request, got *oracle.Response) {
	var response *http.Response
	err := error(nil)
	for response == nil || response.StatusCode == http.StatusContinue {
		if response, err = http.ReadResponse(c.reader, nil); err != nil {
			got.Note = err.Error()
			c.Close()
			return
		}
	}
	got.Status, got.EchoedAttempt, got.Seal = response.StatusCode, response.Header.Get(upstream.AttemptIDHeader), response.Header.Get(upstream.SealHeader)
	body, err := io.ReadAll(response.Body)
	got.Body, got.Complete = string(body), err == nil
	if err != nil {
		got.Note = err.Error()
	}
	if got.Complete && c.reader.Buffered() > 0 {
		got.ExtraBytes = c.Close()
	}
	if !got.Complete || response.Close || request.closeWrite {
		c.Close()
	}
}
