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
	// Front gives the address of a router.
	Front func(router int) string
	// Patience is how long the client waits beyond the time that it tells.
	Patience clock.Span
	History  *oracle.Oracle

	conn   net.Conn
	reader *bufio.Reader
}

// Draw says what requests are drawn from.
type Draw struct {
	Seed uint64
	// Routers is how many routers there are to choose from.
	Routers  int
	Services []string
	// Patience is the time that most requests tell; one in ten tells a tenth.
	Patience clock.Span
	// Rude is the part of the requests, 0 to 1, that no client should send;
	// RudeKinds are those that are drawn, none is all.
	Rude      float64
	RudeKinds []string
}

// Request is one request, drawn from the seed and its number alone.
type Request struct {
	Asked oracle.Asked
	// Leaves has the client close its connection before the answer.
	Leaves  bool
	body    string
	chunked bool
	// anew wants a new connection, expects asks to be told that the body is wanted.
	anew    bool
	expects bool
	left    clock.Span
	// Router is the number of the router that the request goes to.
	Router int
	parts  string
	// raw are the bytes of a rude request; shuts closes the client's side after
	// them.
	raw   string
	shuts bool
}

var kinds = []oracle.Kind{oracle.Safe, oracle.Unsafe, oracle.Unsafe, oracle.Stream, oracle.Resumable}

// Request draws a request; the same seed and number give the same one.
func (d Draw) Request(number int) Request {
	seed := d.Seed
	drawn := rand.New(rand.NewPCG(seed, uint64(number)))
	kind, service := kinds[drawn.IntN(len(kinds))], d.Services[drawn.IntN(len(d.Services))]
	id := fmt.Sprintf("%016x", piece.Hash("attempt", fmt.Sprint(seed), fmt.Sprint(number)))
	drawing := Request{
		chunked: drawn.IntN(4) == 0, anew: drawn.IntN(5) == 0, Leaves: drawn.IntN(100) == 0, expects: drawn.IntN(50) == 0,
		left: d.Patience, Router: drawn.IntN(d.Routers),
		parts: fmt.Sprintf("%x:%d,%x:%d", drawn.IntN(20), 100, number, 50),
	}
	if drawn.IntN(10) == 0 {
		drawing.left /= 10
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
	drawing.Asked = oracle.Asked{Attempt: id, Kind: kind, Service: service, Call: runner.CallOf(method, target, Host, []byte(drawing.body))}
	if total := piece.Total(id); kind == oracle.Resumable && total > 1 && drawn.IntN(4) == 0 {
		drawing.Asked.After = 1 + drawn.IntN(total-1)
	}
	if drawn.Float64() < d.Rude {
		drawing.offend(drawn, d.RudeKinds)
	}
	return drawing
}

// Text gives the request's bytes.
func (r Request) Text() string {
	if r.raw != "" {
		return r.raw
	}
	var text strings.Builder
	asked := r.Asked
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", asked.Call.Method, asked.Call.Target, Host,
		upstream.AttemptIDHeader, asked.Attempt, upstream.TimeLeftHeader, r.left.Milliseconds())
	fmt.Fprintf(&text, "Onyxwell-Model: m\r\n%s: 150,20\r\n%s: %s\r\n", upstream.TokenCountHeader, upstream.PromptPrefixHeader, r.parts)
	if asked.After > 0 {
		fmt.Fprintf(&text, "%s: %d\r\n", upstream.LastEventIDHeader, asked.After)
	}
	if r.expects && r.body != "" {
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
func (c *Client) Send(top scope.Scope, request Request) oracle.Got {
	got := oracle.Got{Attempt: request.Asked.Attempt}
	if request.anew {
		if got.Extra = c.Close(); got.Extra != "" {
			return got
		}
	}
	limited, release := top.WithTimeout(request.left + c.Patience)
	defer release()
	if c.conn == nil {
		opened, err := (&net.Dialer{}).DialContext(limited, "tcp", c.Front(request.Router))
		if err != nil {
			got.Note = err.Error()
			return got
		}
		c.conn, c.reader = opened, bufio.NewReader(opened)
	}
	conn := c.conn
	// The earlier of its times ends the connection, whatever has come by then.
	ends := limited
	if request.Leaves {
		leaves, release := limited.WithTimeout(request.left / 100)
		defer release()
		ends = leaves
	}
	stop := context.AfterFunc(ends, func() { _ = conn.Close() })
	c.History.Asked(request.Asked)
	if _, err := io.WriteString(conn, request.Text()); err != nil {
		got.Note = err.Error()
	}
	if half, able := conn.(*net.TCPConn); able && request.shuts {
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
func (c *Client) read(request Request, got *oracle.Got) {
	var response *http.Response
	err := error(nil)
	for response == nil || response.StatusCode == http.StatusContinue {
		if response, err = http.ReadResponse(c.reader, nil); err != nil {
			got.Note = err.Error()
			c.Close()
			return
		}
	}
	got.Status, got.Echo, got.Seal = response.StatusCode, response.Header.Get(upstream.AttemptIDHeader), response.Header.Get(upstream.SealHeader)
	body, err := io.ReadAll(response.Body)
	got.Body, got.Whole = string(body), err == nil
	if err != nil {
		got.Note = err.Error()
	}
	if got.Whole && c.reader.Buffered() > 0 {
		got.Extra = c.Close()
	}
	if !got.Whole || response.Close || request.shuts {
		c.Close()
	}
}
