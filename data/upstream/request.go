package upstream

import (
	"bytes"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"onyxwell/base/ids"
)

// Request is a client's request as it is sent to runners, one after another. It
// belongs to one caller at a time.
type Request struct {
	Method string
	// Target is the request target as it is written, path and query.
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	AttemptID string
	// Tenant is sent as TenantHeader; empty for none.
	Tenant ids.Tenant
	// sentTo are the addresses that any byte of it was written to.
	sentTo []ids.Address
}

// Attempt is one sending of a request to one runner.
type Attempt struct {
	Request  *Request
	RunnerID ids.RunnerID
	Address  ids.Address
	// TimeLeft is the time to the request's deadline when Send is called.
	TimeLeft time.Duration
	// Priority is the priority of the request, sent as PriorityHeader within 0 to 9.
	Priority int
	// LastEventID is the event after which a stream is resumed; empty for none.
	LastEventID string
	// Service is whose idle connections are judged together.
	Service ids.Service
	// AtMostOnce says that the request must not be executed twice: it is not sent
	// over a connection whose idle time has not been seen to work.
	AtMostOnce bool
}

// header returns the header of the response's request: the id after which a resumed
// attempt continues, else the client's own header.
func (a Attempt) header() http.Header {
	if a.LastEventID == "" {
		return a.Request.Header
	}
	return http.Header{LastEventIDHeader: {a.LastEventID}}
}

var errInvalidRequest = errors.New("upstream: the request line cannot be written")

// baseHeadSize is the capacity set aside for a request's head.
const baseHeadSize = 1024

// encodeHead returns the request line and header, with room for a small body.
// The body is always sent with a Content-Length of our own.
func (a Attempt) encodeHead(timeLeft time.Duration) ([]byte, error) {
	req := a.Request
	if !isSafeInHead(req.Method) || !isSafeInHead(req.Target) || !isSafeInHead(req.Host) {
		return nil, errInvalidRequest
	}
	head := bytes.NewBuffer(make([]byte, 0, baseHeadSize+min(len(req.Body), maxInlineWrite)))
	head.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	replacements := [...]struct{ name, value string }{
		{TargetRunnerHeader, string(a.RunnerID)},
		{TimeLeftHeader, strconv.FormatInt(max(1, timeLeft.Milliseconds()), 10)},
		{TenantHeader, string(req.Tenant)},
		{PriorityHeader, strconv.Itoa(min(9, max(0, a.Priority)))},
		{"Content-Length", req.contentLength()},
		{LastEventIDHeader, a.LastEventID},
	}
	for _, field := range replacements {
		if field.value != "" {
			head.WriteString(field.name + ": " + field.value + "\r\n")
		}
	}
	excluded := replacedHeaders
	if a.LastEventID != "" {
		excluded = replacedHeadersOnResume
	}
	if err := req.Header.WriteSubset(head, excluded); err != nil {
		return nil, err
	}
	head.WriteString("\r\n")
	return head.Bytes(), nil
}

// methodsWithBody are the methods that state a Content-Length even where it is 0.
var methodsWithBody = map[string]bool{http.MethodPost: true, http.MethodPut: true, http.MethodPatch: true}

// contentLength returns the Content-Length to be sent, or "" for none.
func (r *Request) contentLength() string {
	if len(r.Body) == 0 && !methodsWithBody[r.Method] {
		return ""
	}
	return strconv.Itoa(len(r.Body))
}

// wasSentTo reports whether any byte of the request was written to an address.
func (r *Request) wasSentTo(address ids.Address) bool {
	return slices.Contains(r.sentTo, address)
}

// isSafeInHead reports whether a word of the request line is free of bytes that
// could end it.
func isSafeInHead(text string) bool {
	return text != "" && strings.IndexFunc(text, func(r rune) bool { return r <= ' ' || r == 0x7f }) < 0
}

// replacedHeaders are not copied from the client's request: they are written
// anew for each attempt, or do not apply to it.
var replacedHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, "Connection": true,
	// The body has been received, so the expectation has been met.
	"Expect":           true,
	TargetRunnerHeader: true, TimeLeftHeader: true, PriorityHeader: true, TenantHeader: true,
}

// replacedHeadersOnResume adds the id that a resumed attempt writes itself.
var replacedHeadersOnResume = withHeader(replacedHeaders, LastEventIDHeader)

func withHeader(names map[string]bool, header string) map[string]bool {
	extended := maps.Clone(names)
	extended[header] = true
	return extended
}
