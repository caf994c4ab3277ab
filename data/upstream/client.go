// Package upstream sends requests to runners over pooled connections and reports
// what is known about their execution: not executed, possibly executed, or answered.
//
// It manages the connections, encodes requests, parses responses and decides which
// connections may be reused. Its invariants:
//
//   - A request is written at most once per call of Send; this package never retries.
//   - A request counts as not executed only if no byte of it can have reached the
//     runner, or if the runner's response to this attempt says so.
//   - A connection is reused only if the next response on it can only be the
//     response to the next request.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
)

// Options configure a Client.
type Options struct {
	Clock  clock.Clock
	Dialer httpcall.Dialer
	// IdleTimeout is how long a connection may be idle and still be reused. With 0,
	// connections are never reused.
	IdleTimeout time.Duration
	// MaxIdlePerHost is the maximum number of idle connections that are kept per
	// address. Values below minIdlePerHost are raised to it.
	MaxIdlePerHost int
}

// Client sends requests to runners over pooled connections. It is safe for
// concurrent use.
type Client struct {
	options Options
	dial    func(ctx context.Context, network string, address string) (net.Conn, error)
	// sweeping is true while the goroutine that closes idle connections runs.
	sweeping atomic.Bool
	// mu guards the two maps, but not their values, which have locks of their own.
	mu            sync.Mutex
	pools         map[string]*hostPool
	idleEstimates map[ids.Service]*idleEstimate
}

// NewClient returns a client that has no connections yet.
func NewClient(options Options) *Client {
	return &Client{options: options, dial: options.Dialer.Dial, pools: map[string]*hostPool{}, idleEstimates: map[ids.Service]*idleEstimate{}}
}

// Send sends a request to a runner once and waits for the head of its response.
// The end of ctx aborts the exchange, also while the caller reads the response body.
func (c *Client) Send(ctx context.Context, attempt Attempt) Result {
	start := c.options.Clock.Now()
	pc, obs, err := c.acquire(ctx, attempt)
	if pc == nil {
		return obs.result(err, nil)
	}
	// Dialing takes part of the time left, and the runner is told what remains.
	elapsed := c.options.Clock.Now().Since(start)
	if ctx.Err() != nil || elapsed >= max(attempt.TimeLeft, time.Millisecond) {
		_ = pc.Conn.Close()
		return deadlineExpired.result(nil, nil)
	}
	head, err := attempt.encodeHead(attempt.TimeLeft - elapsed)
	if err != nil {
		_ = pc.Conn.Close()
		return dialFailed.result(err, nil)
	}
	return c.exchange(ctx, pc, attempt, head)
}

// exchange writes a request and reads the head of its response. It closes the
// connection on failure.
func (c *Client) exchange(ctx context.Context, pc *persistConn, attempt Attempt, head []byte) Result {
	req, estimate := attempt.Request, c.idleEstimate(attempt.Service)
	stopAbort := context.AfterFunc(ctx, pc.abort)
	pc.recordAttempt(req.AttemptID)
	write := pc.writeRequest(head, req.Body)
	var resp *http.Response
	var err error
	if !write.wroteNothing() {
		resp, err = pc.readResponse(req.Method)
	}
	if err != nil || write.wroteNothing() {
		stopAbort()
		_ = pc.Conn.Close()
		<-write.done
		if write.written == 0 {
			return nothingWritten.result(errors.Join(write.err, err), nil)
		}
		req.sentTo = append(req.sentTo, attempt.Address)
		if ctx.Err() == nil {
			estimate.recordFailure(pc.idleFor)
		}
		return noResponse.result(err, nil)
	}
	req.sentTo = append(req.sentTo, attempt.Address)
	estimate.recordSuccess(pc.idleFor)
	pc.pool.learnKeepAlive(resp.Header)
	obs := classifyHead(req.AttemptID, resp)
	c.releaseAfterBody(pc, write, stopAbort, obs, resp)
	resp.Request = &http.Request{Method: req.Method, Header: attempt.header()}
	if outcome := conclusions[obs].outcome; outcome != Answered && outcome != Rejected {
		_ = resp.Body.Close()
		resp = nil
	}
	return obs.result(nil, resp)
}

// releaseAfterBody replaces the response's body by one that returns the connection
// to its pool or closes it when the body has been read or closed. If the body is
// empty, as in any response to HEAD, that happens at once.
func (c *Client) releaseAfterBody(pc *persistConn, write *requestWrite, stopAbort func() bool, obs observation, resp *http.Response) {
	selfDelimited, closeRequested := resp.ContentLength != lengthUntilClose, resp.Close
	onEnd := func(complete bool) {
		reason := reuseBlocker(exchangeEnd{
			observation: obs, bodyComplete: complete, selfDelimited: selfDelimited, closeRequested: closeRequested,
			requestWritten: write.complete(), canceled: !stopAbort(), bufferedBytes: pc.reader.Buffered(),
		})
		if reason != "" {
			_ = pc.Conn.Close()
			return
		}
		c.release(pc)
	}
	if resp.ContentLength == 0 {
		onEnd(true)
		resp.Body = http.NoBody
		return
	}
	// Callers expect -1, as in net/http, for any unknown length.
	resp.ContentLength = max(resp.ContentLength, lengthChunked)
	resp.Body = &responseBody{source: resp.Body, onEnd: onEnd}
}
