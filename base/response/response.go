// Package response is the one builder of answers: every answer that a daemon
// gives, its own or a runner's, is made here.
package response

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/errkind"
)

// Wire names of the heads that answers carry.
const (
	KindHeader   = "Onyxwell-Breakdown"
	NotRunHeader = "Onyxwell-Not-Run"
)

// Response is an answer ready to be sent.
type Response struct {
	Status          int
	Header          http.Header
	Body            []byte
	CloseConnection bool
}

type errorBody struct {
	Error  string `json:"error"`
	Text   string `json:"text"`
	Detail string `json:"detail,omitempty"`
}

// FromKind makes the answer for a kind of failure.
func FromKind(kind errkind.Kind, detail string) Response {
	told := kind.Response()
	made := JSON(told.Status, errorBody{Error: told.Name, Text: told.Text, Detail: detail})
	made.Header.Set(KindHeader, strconv.Itoa(int(kind)))
	made.CloseConnection = told.CloseConnection
	return made
}

// FromError makes the answer for an error.
func FromError(err error) Response {
	return FromKind(errkind.KindOf(err), errkind.DetailOf(err))
}

// JSON makes an answer with a JSON body.
func JSON(status int, value any) Response {
	body, err := json.Marshal(value)
	if err != nil {
		return FromKind(errkind.Internal, "")
	}
	return Raw(status, "application/json", body)
}

// Raw makes an answer from bytes as they are.
func Raw(status int, contentType string, body []byte) Response {
	header := http.Header{}
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	return Response{Status: status, Header: header, Body: body}
}

// Empty makes an answer without a body.
func Empty(status int) Response { return Response{Status: status, Header: http.Header{}} }

// WithRetryAfter asks the caller to come back no sooner than the span from now.
func (r Response) WithRetryAfter(span clock.Span) Response {
	r.Header.Set("Retry-After", strconv.FormatFloat(span.Seconds(), 'f', 3, 64))
	return r
}

// WithClose asks that the connection end with this answer.
func (r Response) WithClose() Response {
	r.CloseConnection = true
	return r
}

// Send writes the answer.
func (r Response) Send(writer http.ResponseWriter) {
	header := writer.Header()
	for name, values := range r.Header {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(r.Body)))
	if r.CloseConnection {
		header.Set("Connection", "close")
	}
	writer.WriteHeader(r.Status)
	_, _ = writer.Write(r.Body)
}

// WriteHeader writes the head of an answer whose body follows piece by piece; the
// head's values are passed on as they are. A length below 0 is unknown.
func WriteHeader(writer http.ResponseWriter, status int, heads http.Header, length int64, closing bool) {
	header := writer.Header()
	for name, values := range heads {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil
	}
	if _, dated := header["Date"]; !dated {
		header["Date"] = nil
	}
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if closing {
		header.Set("Connection", "close")
	}
	writer.WriteHeader(status)
}

// SetReadTimeout bounds how long the rest of a request may take to arrive; 0 is no
// bound.
func SetReadTimeout(writer http.ResponseWriter, span clock.Span) {
	until := time.Time{}
	if span > 0 {
		until = time.Now().Add(span)
	}
	_ = http.NewResponseController(writer).SetReadDeadline(until)
}

// Abort ends a begun answer so that it looks broken, never complete.
func Abort() { panic(http.ErrAbortHandler) }
