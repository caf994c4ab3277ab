// Package response builds and writes every HTTP response of the daemons, their
// own and those that a router forwards.
//
// A response names the error kind in KindHeader if it is one, and has no header
// of the library's own choosing except Date and Content-Length.
package response

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"onyxwell/base/errkind"
)

// Headers of responses.
const (
	// KindHeader carries the number of an error kind, between daemons and to
	// clients.
	KindHeader = "Onyxwell-Breakdown"
	// NotRunHeader promises that a request has not run and never will.
	NotRunHeader = "Onyxwell-Not-Run"
)

// Response is a complete response that can be sent.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// CloseConnection says that the connection can't be used afterwards.
	CloseConnection bool
}

// errorBody is the body of a response for an error kind.
type errorBody struct {
	Error  string `json:"error"`
	Text   string `json:"text"`
	Detail string `json:"detail,omitempty"`
}

// FromKind returns the response for an error kind; the detail may be empty.
func FromKind(kind errkind.Kind, detail string) Response {
	known := kind.Response()
	resp := JSON(known.Status, errorBody{Error: known.Name, Text: known.Text, Detail: detail})
	resp.Header.Set(KindHeader, strconv.Itoa(int(kind)))
	resp.CloseConnection = known.CloseConnection
	return resp
}

// FromError returns the response for the kind of an error; an error without a
// kind is answered as errkind.Internal, without its text.
func FromError(err error) Response {
	return FromKind(errkind.KindOf(err), errkind.DetailOf(err))
}

// JSON returns a response with a JSON body. A value that can't be encoded is
// answered as errkind.Internal.
func JSON(status int, value any) Response {
	body, err := json.Marshal(value)
	if err != nil {
		return FromKind(errkind.Internal, "")
	}
	return Raw(status, "application/json", body)
}

// Raw returns a response with the body as it is; an empty content type is not
// sent.
func Raw(status int, contentType string, body []byte) Response {
	header := http.Header{}
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	return Response{Status: status, Header: header, Body: body}
}

// Empty returns a response without a body.
func Empty(status int) Response { return Response{Status: status, Header: http.Header{}} }

// WithRetryAfter returns the response with a Retry-After header, in seconds with
// three decimals. It changes the header of the receiver too.
func (r Response) WithRetryAfter(delay time.Duration) Response {
	r.Header.Set("Retry-After", strconv.FormatFloat(delay.Seconds(), 'f', 3, 64))
	return r
}

// WithClose returns the response with CloseConnection set.
func (r Response) WithClose() Response {
	r.CloseConnection = true
	return r
}

// Send writes the response; nothing may be written to writer before or after.
func (r Response) Send(writer http.ResponseWriter) {
	setHeader(writer.Header(), r.Header, int64(len(r.Body)), r.CloseConnection)
	writer.WriteHeader(r.Status)
	_, _ = writer.Write(r.Body)
}

// WriteHeader writes the status and header of a forwarded response, whose body
// the caller writes. The header is sent as it is: no Date is added. A length
// below 0 is unknown.
func WriteHeader(writer http.ResponseWriter, status int, forwarded http.Header, length int64, closeConnection bool) {
	header := writer.Header()
	setHeader(header, forwarded, length, closeConnection)
	suppress(header, "Date")
	writer.WriteHeader(status)
}

// setHeader copies the values of a response's header and adds those that frame
// the body.
func setHeader(header http.Header, from http.Header, length int64, closeConnection bool) {
	for name, values := range from {
		header[name] = values
	}
	suppress(header, "Content-Type")
	if length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if closeConnection {
		header.Set("Connection", "close")
	}
}

// suppress keeps the library from adding a header that is not set.
func suppress(header http.Header, name string) {
	if _, ok := header[name]; !ok {
		header[name] = nil
	}
}

// SetReadTimeout bounds the time until the rest of the request is received; 0 is
// no bound.
func SetReadTimeout(writer http.ResponseWriter, timeout time.Duration) {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = http.NewResponseController(writer).SetReadDeadline(deadline)
}

// Abort ends a handler whose response was begun, so that the client sees it
// broken off. It does not return.
func Abort() { panic(http.ErrAbortHandler) }
