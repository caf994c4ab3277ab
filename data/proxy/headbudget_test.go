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

// TestHeadBudget_truncatesEndlessHead sends a request head that never ends: it must get a
// 431 or a closed connection once it exceeds the limit, and no more of it may be read.
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
		t.Errorf("status %d after %d bytes of a head", resp.StatusCode, sent)
	}
	if sent >= 4*maxHeadBytes {
		t.Errorf("%d bytes of one head were read", sent)
	}
}

// TestHeadBudget_sharesQuotaAcrossConnections reads large heads on many connections while no
// limit is configured: together they must not exceed the memory quota, heads that do not fit
// must be rejected, and everything must be released when the connections close.
func TestHeadBudget_sharesQuotaAcrossConnections(t *testing.T) {
	const quotaBytes = 1 << 20
	quota := memquota.New(quotaBytes, nil)
	var heads []*headBudget
	rejected := 0
	for range 4000 {
		head := &headBudget{quota: quota}
		heads = append(heads, head)
		for head.size < 64<<10 && !head.truncated {
			head.grow(1000, 0, 0)
		}
		if head.rejectionKind() == errkind.OutOfMemory {
			rejected++
		}
		if quota.Reserved() > quotaBytes {
			t.Fatalf("%d bytes are reserved from a quota of %d", quota.Reserved(), quotaBytes)
		}
	}
	if rejected == 0 || rejected == len(heads) {
		t.Errorf("%d of %d heads are rejected, want some but not all", rejected, len(heads))
	}
	for _, head := range heads {
		head.release()
	}
	if quota.Reserved() != 0 {
		t.Errorf("%d bytes are still reserved after all releases", quota.Reserved())
	}
}

// TestHeadBudget_boundsLines guards against heads of many short lines, a hundred of which
// took more than the memory of a router once they were parsed. It reads heads of some lines
// in one read or in many; what follows an ended head is a body and does not count.
func TestHeadBudget_boundsLines(t *testing.T) {
	const requestLine, otherLines = "GET / HTTP/1.1\r\n", 2
	for _, c := range []struct {
		name  string
		lines int
		rest  string
		want  errkind.Kind
	}{
		{"ordinary head with a body", 30, "\r\n" + strings.Repeat("body\r\n", 10*maxHeadLines), errkind.None},
		{"as many lines as are allowed", maxHeadLines - otherLines, "\r\n", errkind.None},
		{"one line more", maxHeadLines - otherLines + 1, "\r\n", errkind.HeaderTooLarge},
		{"lines without an end", 200_000, "", errkind.HeaderTooLarge},
	} {
		text := requestLine + strings.Repeat("a:b\r\n", c.lines) + c.rest
		for _, size := range []int{1000, len(text)} {
			conn := &clientConn{Conn: &textConn{text: text}}
			conn.head.quota = memquota.New(64<<20, nil)
			conn.deadlines.limits = func() config.Limits { return config.Limits{MaxHeaderBytes: maxHeadBytes} }
			conn.deadlines.enter(phaseReadingHead)
			read := 0
			for n, err := 1, error(nil); n > 0 && err == nil && !conn.head.truncated; read += n {
				n, err = conn.Read(make([]byte, size))
			}
			if got := conn.head.rejectionKind(); got != c.want {
				t.Errorf("%s, reads of %d bytes: rejected as %v, want %v", c.name, size, got, c.want)
			}
			if size == 1000 && read > 20_000 && c.want != errkind.None {
				t.Errorf("%s: %d bytes were read", c.name, read)
			}
		}
	}
}

// TestServer_answersTruncatedHeads guards against 400 in place of 431: a head was truncated
// within a line, which net/http can't parse.
func TestServer_answersTruncatedHeads(t *testing.T) {
	p := newTestProxy(t, 0)
	for _, line := range []string{"a:b\r\n", "a-name-of-some-length: and a value\r\n", "Cookie: " + strings.Repeat("x", 1500) + "\r\n"} {
		conn := p.dial()
		go func() {
			fmt.Fprintf(conn, "GET /once/x HTTP/1.1\r\n%s%s", hostLine, badAttemptLine)
			_, _ = conn.Write([]byte(strings.Repeat(line, 64<<10/len(line))))
		}()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("lines of %d bytes: response %+v, error %v, want status 431", len(line), resp, err)
		}
		_ = conn.Close()
	}
}

// textConn is a connection that yields a text.
type textConn struct {
	net.Conn
	text string
}

func (c *textConn) Read(buffer []byte) (int, error) {
	n := copy(buffer, c.text)
	c.text = c.text[n:]
	return n, nil
}

// TestHeadBudget_resetsForNextHead reads several heads below the limit on one connection:
// none may be truncated, although together they exceed the limit. One above the limit is
// terminated once.
func TestHeadBudget_resetsForNextHead(t *testing.T) {
	head := &headBudget{quota: memquota.New(1<<20, nil)}
	for range 10 {
		head.beginHead()
		head.grow(10_000, 40, 16_384)
		if head.truncated {
			t.Fatal("a head within the limit is truncated")
		}
	}
	head.grow(20_000, 0, 16_384)
	buffer := make([]byte, 16)
	if n := head.readTerminator(buffer); string(buffer[:n]) != headTerminator || head.rejectionKind() != errkind.HeaderTooLarge {
		t.Errorf("truncated head is terminated by %q and rejected as %v", buffer[:n], head.rejectionKind())
	}
	if head.readTerminator(buffer) != 0 {
		t.Error("the terminator is read twice")
	}
}

// bodyConn is a connection that yields an endless body without line breaks.
type bodyConn struct{ net.Conn }

func (bodyConn) Read(buffer []byte) (int, error) {
	for index := range buffer {
		buffer[index] = 'x'
	}
	return len(buffer), nil
}

// TestHeadBudget_ignoresBodyAfterInterimResponse writes a response before a large body is
// read, as happens for "Expect: 100-continue". The body must not be taken for a head and
// truncated, whereas a following head that never ends must be.
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
		t.Error("a body is truncated")
	}
	conn.deadlines.enter(phaseIdle)
	conn.responseBegun.Store(true)
	if !read() {
		t.Error("an endless head is not truncated")
	}
}
