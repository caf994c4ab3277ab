package upstreamtest

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// Step answers one request by writing bytes to its connection, and reports whether
// the connection stays open.
type Step func(req Request, writer io.Writer) (open bool)

// Raw writes text in which {id} stands for the request's attempt id.
func Raw(text string, open bool) Step {
	return func(req Request, writer io.Writer) bool {
		_, _ = io.WriteString(writer, strings.ReplaceAll(text, "{id}", req.AttemptID))
		return open
	}
}

// Respond answers with a status, a seal and a body.
func Respond(status int, seal string, body string) Step {
	return Raw(fmt.Sprintf("HTTP/1.1 %d X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, seal, len(body), body), true)
}

// Before calls act when the request has arrived, before step answers it.
func Before(callback func(), step Step) Step {
	return func(req Request, writer io.Writer) bool {
		callback()
		return step(req, writer)
	}
}

// Reject answers that the request was not executed.
func Reject(status int) Step {
	return Raw(fmt.Sprintf("HTTP/1.1 %d X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status), true)
}

// EventStream answers with the events from id first to id last; unless complete,
// the stream is cut off after the last.
func EventStream(seal string, first int, last int, complete bool) Step {
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: " + seal +
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for id := first; id <= last; id++ {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(event), event)
	}
	if complete {
		text.WriteString("0\r\n\r\n")
	}
	return Raw(text.String(), complete)
}

// HangUp closes the connection without a response.
func HangUp() Step { return Raw("", false) }

// Reset writes text as Raw does and resets the connection.
func Reset(text string) Step {
	return func(req Request, writer io.Writer) bool {
		Raw(text, false)(req, writer)
		if conn, ok := writer.(*net.TCPConn); ok {
			_ = conn.SetLinger(0)
		}
		return false
	}
}
