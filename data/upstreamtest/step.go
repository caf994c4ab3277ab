package upstreamtest

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// Step answers a request by writing bytes to its connection. It reports whether the
// connection stays open.
type Step func(req Request, writer io.Writer) (open bool)

// Raw returns a step that writes text, with the request's attempt id in place of each
// {id}.
func Raw(text string, open bool) Step {
	return func(req Request, writer io.Writer) bool {
		_, _ = io.WriteString(writer, strings.ReplaceAll(text, "{id}", req.AttemptID))
		return open
	}
}

// Respond returns a step that answers with a status, a seal and a body.
func Respond(status int, seal string, body string) Step {
	return Raw(fmt.Sprintf("HTTP/1.1 %d X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, seal, len(body), body), true)
}

// Before returns a step that calls callback when the request has arrived, and then
// answers with step.
func Before(callback func(), step Step) Step {
	return func(req Request, writer io.Writer) bool {
		callback()
		return step(req, writer)
	}
}

// Reject returns a step that answers with a status and states that the request was
// not executed.
func Reject(status int) Step {
	return Raw(fmt.Sprintf("HTTP/1.1 %d X\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", status), true)
}

// EventStream returns a step that answers with the events whose ids are first to
// last. Unless complete is true, the connection is closed after the last event,
// without the final chunk.
func EventStream(seal string, first int, last int, complete bool) Step {
	var events []int
	for id := first; id <= last; id++ {
		events = append(events, id)
	}
	return NumberedEventStream(seal, events, complete)
}

// NumberedEventStream returns a step like EventStream, with the given ids.
func NumberedEventStream(seal string, eventIDs []int, complete bool) Step {
	var text strings.Builder
	text.WriteString("HTTP/1.1 200 OK\r\nOnyxwell-Attempt-Id: {id}\r\nOnyxwell-Server-Seal: " + seal +
		"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, id := range eventIDs {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id)
		fmt.Fprintf(&text, "%x\r\n%s\r\n", len(event), event)
	}
	if complete {
		text.WriteString("0\r\n\r\n")
	}
	return Raw(text.String(), complete)
}

// HangUp returns a step that closes the connection without a response.
func HangUp() Step { return Raw("", false) }

// Reset returns a step that writes text as Raw does and then resets the connection.
func Reset(text string) Step {
	return func(req Request, writer io.Writer) bool {
		Raw(text, false)(req, writer)
		if conn, ok := writer.(*net.TCPConn); ok {
			_ = conn.SetLinger(0)
		}
		return false
	}
}
