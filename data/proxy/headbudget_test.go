package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"onyxwell/base/errkind"
	"onyxwell/base/memquota"
	"onyxwell/control/config"
)

// TestHeadBudget_truncatesEndlessHead has a client send a head that never ends: it is answered
// 431 as soon as the limit in force is passed, and nothing more is read.
func TestHeadBudget_truncatesEndlessHead(t *testing.T) {
	p := newTestProxy(t, 0)
	conn := p.dial()
	defer conn.Close()
	fmt.Fprintf(conn, "GET /once/x HTTP/1.1\r\n%s%s", hostLine, badAttemptLine)
	answered := make(chan *http.Response, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			resp = nil
		}
		answered <- resp
	}()
	sent := 0
	for ; sent < 4*maxHeadBytes; sent += 1000 {
		if _, err := fmt.Fprintf(conn, "X%d: %s\r\n", sent, strings.Repeat("x", 990)); err != nil {
			break
		}
		if len(answered) > 0 {
			break
		}
	}
	if resp := <-answered; resp != nil && resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d after %d bytes", resp.StatusCode, sent)
	}
	if sent >= 4*maxHeadBytes {
		t.Errorf("%d bytes of one head were taken", sent)
	}
}

// TestHeadBudget_sharesQuotaAcrossConnections has many connections send heads that never end,
// while no limit is configured: together they take no more than the quota, those that find
// no room are rejected, and all is given back when they close.
func TestHeadBudget_sharesQuotaAcrossConnections(t *testing.T) {
	const quotaBytes = 1 << 20
	quota := memquota.New(quotaBytes, nil)
	var heads []*headBudget
	rejected := 0
	for range 4000 {
		head := &headBudget{quota: quota}
		heads = append(heads, head)
		for head.size < 64<<10 && !head.truncated {
			head.grow(1000, 0)
		}
		if head.rejectionKind() == errkind.OutOfMemory {
			rejected++
		}
		if quota.Reserved() > quotaBytes {
			t.Fatalf("%d bytes are reserved of %d", quota.Reserved(), quotaBytes)
		}
	}
	if rejected == 0 || rejected == len(heads) {
		t.Errorf("%d of %d heads are rejected", rejected, len(heads))
	}
	for _, head := range heads {
		head.release()
	}
	if quota.Reserved() != 0 {
		t.Errorf("%d bytes stay reserved", quota.Reserved())
	}
}

// TestHeadBudget_resetsForNextHead has several requests with heads near the limit on one
// connection: none is cut.
func TestHeadBudget_resetsForNextHead(t *testing.T) {
	head := &headBudget{quota: memquota.New(1<<20, nil)}
	for range 10 {
		head.beginHead()
		head.grow(10_000, 16_384)
		if head.truncated {
			t.Fatal("a head within the limit is cut")
		}
	}
	head.grow(20_000, 16_384)
	buffer := make([]byte, 16)
	if n := head.readTerminator(buffer); string(buffer[:n]) != headTerminator || head.rejectionKind() != errkind.HeaderTooLarge {
		t.Errorf("ended by %q, %v", buffer[:n], head.rejectionKind())
	}
	if head.readTerminator(buffer) != 0 {
		t.Error("ended twice")
	}
}

// bodyConn is a connection of which a body comes, without an end of line.
type bodyConn struct{ net.Conn }

func (bodyConn) Read(buffer []byte) (int, error) {
	for index := range buffer {
		buffer[index] = 'x'
	}
	return len(buffer), nil
}

// TestHeadBudget_ignoresBodyAfterInterimResponse has a router write a response, as it does
// for "Expect: 100-continue", before it reads a large body: the body is passed on as it is,
// and the next head that never ends is cut all the same.
func TestHeadBudget_ignoresBodyAfterInterimResponse(t *testing.T) {
	conn := &clientConn{Conn: bodyConn{}}
	conn.head.quota = memquota.New(1<<20, nil)
	conn.deadlines.limits = func() config.Limits { return config.Limits{MaxHeaderBytes: 16384} }
	read := func() (truncated bool) {
		buffer := make([]byte, 4096)
		for range 64 {
			n, err := conn.Read(buffer)
			if err != nil || n != len(buffer) {
				return true
			}
		}
		return false
	}
	conn.deadlines.enter(phaseServing)
	conn.responseBegun.Store(true)
	if read() {
		t.Error("a body is cut")
	}
	conn.deadlines.enter(phaseIdle)
	conn.responseBegun.Store(true)
	if !read() {
		t.Error("a head without an end is not cut")
	}
}
