package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// referenceResponse parses a response with net/http. It returns the head, the body,
// whether the body is complete, and the number of bytes that follow it.
func referenceResponse(method string, response string) (*http.Response, string, bool, int) {
	source := strings.NewReader(response)
	reader := bufio.NewReader(source)
	for {
		head, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, "", false, 0
		}
		if head.StatusCode < 200 && head.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		text, err := io.ReadAll(head.Body)
		return head, string(text), err == nil, reader.Buffered() + source.Len()
	}
}

// checkAgainstReference sends a request over a connection that returns the given
// response bytes and compares the result with referenceResponse.
func checkAgainstReference(t *testing.T, method string, response string, maxRead int) {
	t.Helper()
	conn := &fakeConn{exchanges: []exchange{{acceptBytes: acceptAll, response: response, err: io.EOF}}, maxRead: maxRead}
	client := newClientWithConns(conn)
	result := send(client, newAttempt("r:1", method, "x"))
	head, text, complete, bytesBeyond := referenceResponse(method, response)
	if result.Response == nil {
		if result.Outcome != Indeterminate && result.Outcome != InvalidResponse || !conn.closed {
			t.Fatalf("no response: outcome is %v, connection closed: %v", result.Outcome, conn.closed)
		}
		return
	}
	got, err := io.ReadAll(result.Response.Body)
	_ = result.Response.Body.Close()
	if head == nil || head.StatusCode != result.Response.StatusCode || len(head.Header[AttemptIDHeader]) != 1 || head.Header.Get(AttemptIDHeader) != "a1" {
		t.Fatalf("outcome is %v, but the bytes are no response to the request: %q", result.Outcome, response)
	}
	notRun := head.Header.Get("Onyxwell-Not-Run") != "" || head.StatusCode == http.StatusMisdirectedRequest
	if notRun != (result.Outcome == Rejected) {
		t.Fatalf("outcome is %v, but the response states not executed: %v", result.Outcome, notRun)
	}
	if result.Outcome == Answered && (notRunStatuses[head.StatusCode] || head.StatusCode/100 == 2 && head.Header.Get(SealHeader) == "") {
		t.Fatalf("a response with status %d is accepted without seal or as a rejection that may have been executed", head.StatusCode)
	}
	if err == nil && (!complete || string(got) != text) {
		t.Fatalf("body %q (complete: %v) is returned as complete body %q", text, complete, got)
	}
	// Bytes that have not been read yet are detected before the connection is reused.
	bytesBeyond -= len(conn.unread)
	if !conn.closed && (err != nil || bytesBeyond > 0 || head.Close) {
		t.Fatalf("the connection is kept with %d bytes beyond the response, error %v", bytesBeyond, err)
	}
}

var methods = []string{"POST", "GET", "HEAD"}

// FuzzAnswer compares the handling of arbitrary response bytes with net/http.
func FuzzAnswer(f *testing.F) {
	for _, response := range []string{
		strings.ReplaceAll(sealedResponse, "{id}", "a1"), wrongAttemptResponse, "HTTP/1.1 100 C\r\n\r\n" + strings.ReplaceAll(sealedResponse, "{id}", "a1") + "rest",
		"HTTP/1.1 503 X\r\nOnyxwell-Attempt-Id: a1\r\nOnyxwell-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nOnyxwell-Attempt-Id: a1\r\nOnyxwell-Server-Seal: s\r\n\r\nto the end",
		"HTTP/1.1 421 X\r\nOnyxwell-Attempt-Id: a1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab",
		"HTTP/1.1 204 X\r\nOnyxwell-Attempt-Id: a1\r\nOnyxwell-Server-Seal: s\r\nConnection: x, close\r\n\r\n",
	} {
		f.Add(byte(0), byte(0), response)
		f.Add(byte(2), byte(1), response)
	}
	f.Fuzz(func(t *testing.T, method byte, maxRead byte, response string) {
		checkAgainstReference(t, methods[int(method)%len(methods)], response, int(maxRead))
	})
}

// FuzzChunks compares the handling of arbitrary chunked bodies with net/http.
func FuzzChunks(f *testing.F) {
	for _, body := range []string{"4\r\nbody\r\n0\r\n\r\n", "0\r\n\r\nrest", "4;x=y\r\nbody\r\n0\r\nX: y\r\n\r\n", "4\r\nbo", "ffffffffffffffff\r\n", "4\nbody\n0\n\n", "-1\r\n"} {
		f.Add(byte(0), body)
		f.Add(byte(1), body)
	}
	head := "HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: a1\r\nOnyxwell-Server-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	f.Fuzz(func(t *testing.T, maxRead byte, body string) {
		checkAgainstReference(t, "POST", head+body, int(maxRead))
	})
}

// isBlankOrComments reports whether a text has only blank and comment lines.
func isBlankOrComments(text string) bool {
	for _, line := range strings.Split(text, "\n") {
		if strings.TrimSpace(line) != "" && !strings.HasPrefix(line, ":") {
			return false
		}
	}
	return true
}

// FuzzEvents checks that the events returned for a stream are its bytes in order, and
// that their ids rise.
func FuzzEvents(f *testing.F) {
	for _, text := range []string{"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\n\nid: 3\n\n", "id:5\r\n\r\n: hi\n\nid: x\n\n", "id: 1\nid: 2\n\n", "data", "\n\n", "id: 1\n\n: a\n\n\nid: 4\n\n: b"} {
		f.Add("", text)
		f.Add("4", text)
	}
	f.Fuzz(func(t *testing.T, after string, text string) {
		events := newReaderAfter(after, text)
		last := ParseEventID(after)
		returned := ""
		for {
			event, err := events.Next()
			if err != nil {
				rest := returned + string(event)
				if !strings.HasPrefix(text, rest) || errors.Is(err, io.EOF) && (rest != text || !isBlankOrComments(string(event))) {
					t.Fatalf("events %q, then %q with error %v, are not the bytes of the stream", returned, event, err)
				}
				return
			}
			returned += string(event)
			for _, line := range bytes.Split(event, []byte("\n")) {
				value, hasID := strings.CutPrefix(strings.TrimRight(string(line), "\r"), "id:")
				id := ParseEventID(strings.TrimSpace(value))
				if hasID && last.IsSet() && (!id.IsSet() || !id.After(last)) {
					t.Fatalf("id %s is followed by line %q", last, line)
				}
				if hasID && id.IsSet() {
					last = id
				}
			}
			if !strings.HasPrefix(text, returned) || last.String() != events.sequence.Last().String() {
				t.Fatalf("events %q are not the bytes of the stream, or the last id %s is wrong", returned, events.sequence.Last())
			}
		}
	})
}
