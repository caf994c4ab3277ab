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

// Reply is an answer ready to be sent.
type Reply struct {
	Status  int
	Header  http.Header
	Body    []byte
	Closing bool
}

type trouble struct {
	Error  string `json:"error"`
	Text   string `json:"text"`
	Detail string `json:"detail,omitempty"`
}

// Of makes the answer for a kind of failure.
func Of(kind errkind.Kind, detail string) Reply {
	told := kind.Answer()
	made := JSON(told.Status, trouble{Error: told.Name, Text: told.Text, Detail: detail})
	made.Header.Set(KindHeader, strconv.Itoa(int(kind)))
	made.Closing = told.Closing
	return made
}

// Failure makes the answer for an error.
func Failure(err error) Reply {
	return Of(errkind.KindOf(err), errkind.DetailOf(err))
}

// JSON makes an answer with a JSON body.
func JSON(status int, value any) Reply {
	body, err := json.Marshal(value)
	if err != nil {
		return Of(errkind.Internal, "")
	}
	return Raw(status, "application/json", body)
}

// Raw makes an answer from bytes as they are.
func Raw(status int, contentType string, body []byte) Reply {
	header := http.Header{}
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	return Reply{Status: status, Header: header, Body: body}
}

// Empty makes an answer without a body.
func Empty(status int) Reply { return Reply{Status: status, Header: http.Header{}} }

// After asks the caller to come back no sooner than the span from now.
func (r Reply) After(span clock.Span) Reply {
	r.Header.Set("Retry-After", strconv.FormatFloat(span.Seconds(), 'f', 3, 64))
	return r
}

// Close asks that the connection end with this answer.
func (r Reply) Close() Reply {
	r.Closing = true
	return r
}

// Send writes the answer.
func (r Reply) Send(writer http.ResponseWriter) {
	header := writer.Header()
	for name, values := range r.Header {
		header[name] = values
	}
	if _, typed := header["Content-Type"]; !typed {
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(r.Body)))
	if r.Closing {
		header.Set("Connection", "close")
	}
	writer.WriteHeader(r.Status)
	_, _ = writer.Write(r.Body)
}

// Begin writes the head of an answer whose body follows piece by piece; the
// head's values are passed on as they are. A length below 0 is unknown.
func Begin(writer http.ResponseWriter, status int, heads http.Header, length int64, closing bool) {
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

// ReadWithin bounds how long the rest of a request may take to arrive; 0 is no
// bound.
func ReadWithin(writer http.ResponseWriter, span clock.Span) {
	until := time.Time{}
	if span > 0 {
		until = time.Now().Add(span)
	}
	_ = http.NewResponseController(writer).SetReadDeadline(until)
}

// Abort ends a begun answer so that it looks broken, never complete.
func Abort() { panic(http.ErrAbortHandler) }
