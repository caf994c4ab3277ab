// Package upstream sends requests to runners over pooled connections and reports
// what is known of their execution: not executed, possibly executed, or answered.
//
// It owns the connections, the framing of requests and responses, and the
// decision of which connections may be reused. Its invariants:
//
//   - A request is written at most once per call of Send; nothing is retried here.
//   - A request counts as not executed only if no byte of it can have reached the
//     runner, or if the runner's response to this very attempt says so.
//   - A connection is reused only if the next response on it can be no other than
//     the next request's.
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
	// IdleTimeout is after how long an idle connection is no longer reused; with 0
	// none ever is.
	IdleTimeout time.Duration
	// MaxIdlePerHost is how many idle connections to one address are kept; less
	// than minIdlePerHost counts as that.
	MaxIdlePerHost int
}

// Client sends requests to runners over pooled connections. It is safe for
// concurrent use.
type Client struct {
	options Options
	dial    func(ctx context.Context, network string, address string) (net.Conn, error)
	// sweeping is set while a goroutine closes idle connections.
	sweeping atomic.Bool
	// mu guards the two maps, not what they hold.
	mu            sync.Mutex
	pools         map[string]*hostPool
	idleEstimates map[ids.Service]*idleEstimate
}

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	return &Client{options: options, dial: options.Dialer.Dial, pools: map[string]*hostPool{}, idleEstimates: map[ids.Service]*idleEstimate{}}
}

// Send sends a request to a runner once and waits for the head of its response.
// The exchange ends with ctx, the reading of the response's body included.
func (c *Client) Send(ctx context.Context, attempt Attempt) Result {
	start := c.options.Clock.Now()
	pc, obs, err := c.acquire(ctx, attempt)
	if pc == nil {
		return obs.result(err, nil)
	}
	// Dialing may have taken a while: the runner is told the time left now.
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

// exchange writes a request and reads the head of its response.
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

// releaseAfterBody has the connection be pooled or closed when the response's
// body has been read or closed. It replaces the body.
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
	// Callers know one unknown length only.
	resp.ContentLength = max(resp.ContentLength, lengthChunked)
	resp.Body = &responseBody{source: resp.Body, onEnd: onEnd}
}
