// Package client emulates clients over real connections: it draws well-formed and
// malformed requests from a seed, sends them, and records what it receives.
package client

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"onyxwell/data/upstream"
	"onyxwell/emulator/oracle"
)

// Client sends one request at a time. It keeps its connection for the next one
// where the request does not ask for a new one. It is not safe for concurrent use.
type Client struct {
	// RouterAddress returns the address of a router.
	RouterAddress func(router int) string
	// Grace is how long the client waits beyond the time-out that its request
	// carries.
	Grace   time.Duration
	Checker *oracle.Checker

	conn   net.Conn // nil where none is kept
	reader *bufio.Reader
}

// Close closes the connection and returns the bytes that came on it while no
// request was pending.
func (c *Client) Close() string {
	if c.conn == nil {
		return ""
	}
	extra := ""
	if size := c.reader.Buffered(); size > 0 {
		buffered, _ := c.reader.Peek(size)
		extra = string(buffered)
	}
	_ = c.conn.Close()
	c.conn, c.reader = nil, nil
	return extra
}

// Send records and sends a request, and returns what it received until the
// response ended or the client gave up.
func (c *Client) Send(ctx context.Context, req Request) oracle.Response {
	resp := oracle.Response{Attempt: req.Record.Attempt}
	if req.newConn {
		if resp.ExtraBytes = c.Close(); resp.ExtraBytes != "" {
			return resp
		}
	}
	ctx, cancel := context.WithTimeout(ctx, req.timeout+c.Grace)
	defer cancel()
	if err := c.connect(ctx, req.Router); err != nil {
		resp.Note = err.Error()
		return resp
	}
	conn := c.conn
	if req.Abandons {
		abandoned, cancel := context.WithTimeout(ctx, req.timeout/100)
		defer cancel()
		ctx = abandoned
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	c.Checker.RecordRequest(req.Record)
	if _, err := io.WriteString(conn, req.Text()); err != nil {
		resp.Note = err.Error()
	}
	if tcp, ok := conn.(*net.TCPConn); ok && req.closeWrite {
		_ = tcp.CloseWrite()
	}
	c.receive(req, &resp)
	if !stop() {
		// The connection was closed as the response came.
		c.Close()
	}
	return resp
}

// connect opens a connection where none is kept.
func (c *Client) connect(ctx context.Context, router int) error {
	if c.conn != nil {
		return nil
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.RouterAddress(router))
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

// receive reads a response, and closes the connection where it can't be used
// again.
func (c *Client) receive(req Request, received *oracle.Response) {
	resp, err := c.readHead()
	if err != nil {
		received.Note = err.Error()
		c.Close()
		return
	}
	received.Status = resp.StatusCode
	received.EchoedAttempt, received.Seal = resp.Header.Get(upstream.AttemptIDHeader), resp.Header.Get(upstream.SealHeader)
	body, err := io.ReadAll(resp.Body)
	received.Body, received.Complete = string(body), err == nil
	if err != nil {
		received.Note = err.Error()
	}
	if received.Complete && c.reader.Buffered() > 0 {
		received.ExtraBytes = c.Close()
	}
	if !received.Complete || resp.Close || req.closeWrite {
		c.Close()
	}
}

// readHead reads heads until one is not 100 Continue.
func (c *Client) readHead() (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.reader, nil)
		if err != nil || resp.StatusCode != http.StatusContinue {
			return resp, err
		}
	}
}
