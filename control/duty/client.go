package duty

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
)

// Request headers of calls to the platform.
const (
	holderHeader = "Onyxwell-Duty-Holder"
	fenceHeader  = "Onyxwell-Fence-Number"
)

// Errors of Client.Call.
var (
	// ErrNotHeld reports that no complete request was sent: this controller does not hold the
	// part under the given fence, or may not make calls for it yet.
	ErrNotHeld = errors.New("duty: part is not held by this controller")
	// ErrFenceRefused reports that the platform refused the fence of the call, because it has
	// accepted a call under a higher one.
	ErrFenceRefused = errors.New("duty: fence refused by the platform: it has accepted a higher one")
)

// Call is a call to the platform for a part.
type Call struct {
	Path string
	Body []byte
}

// ClientOptions configure a Client. All are required.
type ClientOptions struct {
	Clock   clock.Clock
	Session *Session
	// Node is the name under which the platform knows this machine.
	Node string
	// Address is the address of the platform.
	Address ids.Address
	// Timeout limits the duration of a call, which also ends with the session. CheckInterval
	// is the interval at which the session is checked while a call runs.
	Timeout       time.Duration
	CheckInterval time.Duration
	// NewHTTP returns an HTTP client that passes each new connection through wrap and does not
	// reuse connections.
	NewHTTP func(wrap func(net.Conn) net.Conn) *http.Client
}

// Client makes platform calls for the parts that this controller holds, one at a time per
// part. No pool, queue or retry lies between the check of the session and the write: each
// call has its own connection, on which every write is checked (guardedConn) and which is
// reset when the session ends.
type Client struct {
	options ClientOptions

	mu          sync.Mutex
	partClients map[Part]*partClient
}

// partClient makes the calls of one part.
type partClient struct {
	// busy is locked while a call runs.
	busy  sync.Mutex
	fence atomic.Int64
	http  *http.Client
}

// NewClient returns a Client without open connections.
func NewClient(options ClientOptions) *Client {
	return &Client{options: options, partClients: map[Part]*partClient{}}
}

func (c *Client) partClient(part Part) *partClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	pc := c.partClients[part]
	if pc == nil {
		pc = &partClient{}
		pc.http = c.options.NewHTTP(func(conn net.Conn) net.Conn {
			return &guardedConn{Conn: conn, allowed: func() bool { return c.options.Session.Allowed(part, pc.fence.Load()) }}
		})
		c.partClients[part] = pc
	}
	return pc
}

// Call makes a call under a fence and returns the status of the answer. After an error other
// than ErrNotHeld or ErrFenceRefused it is unknown whether the platform processed the call.
func (c *Client) Call(ctx context.Context, part Part, fence int64, call Call) (status int, err error) {
	pc := c.partClient(part)
	pc.busy.Lock()
	defer pc.busy.Unlock()
	if !c.options.Session.beginCall(part, fence) {
		return 0, ErrNotHeld
	}
	pc.fence.Store(fence)
	ctx, cancel := c.options.Clock.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	go c.cancelWhenNotHeld(ctx, cancel, part, fence)
	response, err := httpcall.Do[callResponse](ctx, pc.http, c.options.Address, callRequest{call: call, node: c.options.Node, fence: fence})
	c.options.Session.endCall(part, response.status)
	switch {
	case err != nil:
		return 0, err
	case response.status == http.StatusConflict:
		c.options.Session.RevokeRefused(part, fence)
		return response.status, ErrFenceRefused
	}
	return response.status, nil
}

// cancelWhenNotHeld cancels a running call once the part is no longer held under its fence.
func (c *Client) cancelWhenNotHeld(ctx context.Context, cancel context.CancelFunc, part Part, fence int64) {
	for clock.Wait(ctx, c.options.Clock, c.options.CheckInterval) {
		if !c.options.Session.Allowed(part, fence) {
			cancel()
			return
		}
	}
}

// callRequest is a call with the node and the fence that its headers carry.
type callRequest struct {
	call  Call
	node  string
	fence int64
}

// Encode implements httpcall.Requester.
func (r callRequest) Encode() httpcall.OutgoingRequest {
	return httpcall.OutgoingRequest{Method: http.MethodPost, Path: r.call.Path, Body: r.call.Body, Header: http.Header{
		holderHeader: {r.node}, fenceHeader: {strconv.FormatInt(r.fence, 10)}, "Content-Type": {"application/json"},
	}}
}

// callResponse is the platform's answer. Only its status matters; the body is ignored.
type callResponse struct{ status int }

// Decode implements httpcall.ResponseReader.
func (r *callResponse) Decode(raw httpcall.RawResponse) error {
	r.status = raw.Status
	return nil
}

// guardedConn is the connection of one call. It checks the session immediately before each
// write. Closing it discards the data that the kernel has not delivered, so that nothing
// arrives after the call was canceled.
type guardedConn struct {
	net.Conn
	allowed func() bool
}

// Write writes buffer if the part is still held, and otherwise resets the connection.
func (g *guardedConn) Write(buffer []byte) (int, error) {
	if !g.allowed() {
		_ = g.Close()
		return 0, ErrNotHeld
	}
	return g.Conn.Write(buffer)
}

// Close resets the connection.
func (g *guardedConn) Close() error {
	if tcp, ok := g.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	return g.Conn.Close()
}
