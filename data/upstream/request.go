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

// Request is a client's request as it is sent to runners, to one after another if
// attempts fail. It must not be used concurrently.
type Request struct {
	Method string
	// Target is the request target, path and query, which is sent unchanged.
	Target    string
	Host      string
	Header    http.Header
	Body      []byte
	AttemptID string
	// Tenant is the value of TenantHeader; if empty, the header is not sent.
	Tenant ids.Tenant
	// sentTo lists the addresses to which any byte of the request was written.
	sentTo []ids.Address
}

// Attempt is an attempt to have one runner execute a request.
type Attempt struct {
	Request  *Request
	RunnerID ids.RunnerID
	Address  ids.Address
	// TimeLeft is the time until the request's deadline when Send is called.
	TimeLeft time.Duration
	// Priority is the value of PriorityHeader; it is clamped to the range 0 to 9.
	Priority int
	// LastEventID is the id of the event after which the attempt resumes a stream;
	// empty if it does not resume one.
	LastEventID string
	// Service is the service of the runner. The trusted idle time of connections is
	// estimated per service.
	Service ids.Service
	// AtMostOnce reports whether the request must not be executed twice. Such a
	// request is sent over an idle connection only if connections of the service have
	// worked after as long an idle time, or if the idle time is at most minTrustedIdle.
	AtMostOnce bool
}

// header returns the header of the http.Request that the response refers to: only
// the LastEventIDHeader if the attempt resumes a stream, else the client's header.
func (a Attempt) header() http.Header {
	if a.LastEventID == "" {
		return a.Request.Header
	}
	return http.Header{LastEventIDHeader: {a.LastEventID}}
}

var errInvalidRequest = errors.New("upstream: the method, target or host of the request is empty or has a space or control character")

// baseHeadSize is the initial buffer capacity in bytes for the head of a request.
const baseHeadSize = 1024

// encodeHead returns the request line and header, in a slice with capacity for a
// small body. The Content-Length is that of the received body, not the one that the
// client sent.
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

// methodsWithBody are the methods for which a Content-Length is sent even if it is 0.
var methodsWithBody = map[string]bool{http.MethodPost: true, http.MethodPut: true, http.MethodPatch: true}

// contentLength returns the Content-Length to send, or "" if none is sent.
func (r *Request) contentLength() string {
	if len(r.Body) == 0 && !methodsWithBody[r.Method] {
		return ""
	}
	return strconv.Itoa(len(r.Body))
}

// wasSentTo reports whether any byte of the request was written to the address.
func (r *Request) wasSentTo(address ids.Address) bool {
	return slices.Contains(r.sentTo, address)
}

// isSafeInHead reports whether a method, target or host can be written to the request
// head: it is not empty and has no space or control character, which could end the
// element.
func isSafeInHead(text string) bool {
	return text != "" && strings.IndexFunc(text, func(r rune) bool { return r <= ' ' || r == 0x7f }) < 0
}

// replacedHeaders are the headers that are not copied from the client's request,
// because they are set for each attempt or do not apply to it.
var replacedHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, "Connection": true,
	// The body has been received already, so a 100-continue expectation has been met.
	"Expect":           true,
	TargetRunnerHeader: true, TimeLeftHeader: true, PriorityHeader: true, TenantHeader: true,
}

// replacedHeadersOnResume are the replacedHeaders of an attempt that resumes a
// stream, which sets LastEventIDHeader too.
var replacedHeadersOnResume = withHeader(replacedHeaders, LastEventIDHeader)

// withHeader returns a copy of a set of header names with one name added.
func withHeader(names map[string]bool, header string) map[string]bool {
	extended := maps.Clone(names)
	extended[header] = true
	return extended
}
