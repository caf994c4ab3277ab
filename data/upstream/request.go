package upstream

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"onyxwell/base/clock"
)

// header are the request's own heads as they go out.
func (a Attempt) header() http.Header {
	if a.LastEventID == "" {
		return a.Request.Header
	}
	return http.Header{LastEventIDHeader: {a.LastEventID}}
}

var errInvalidRequest = errors.New("forward: the request can't be written as one")

// encodeHead makes the head of the request. The body always has a length, which is
// our own.
func (a Attempt) encodeHead(left clock.Span) ([]byte, error) {
	request := a.Request
	if !isPlainToken(request.Method) || !isPlainToken(request.Target) || !isPlainToken(request.Host) {
		return nil, errInvalidRequest
	}
	made := bytes.NewBuffer(make([]byte, 0, 1024+min(len(request.Body), maxInlineWrite)))
	made.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	own := [...]string{
		TargetHeader, string(a.RunnerID),
		TimeLeftHeader, strconv.FormatInt(max(1, left.Milliseconds()), 10),
		UrgencyHeader, strconv.Itoa(min(9, max(0, a.Urgency))),
		"Content-Length", request.contentLength(),
		LastEventIDHeader, a.LastEventID,
	}
	for index := 0; index < len(own); index += 2 {
		if own[index+1] != "" {
			made.WriteString(own[index] + ": " + own[index+1] + "\r\n")
		}
	}
	skipped := replacedHeaders
	if a.LastEventID != "" {
		skipped = replacedHeadersOnResume
	}
	if err := request.Header.WriteSubset(made, skipped); err != nil {
		return nil, err
	}
	made.WriteString("\r\n")
	return made.Bytes(), nil
}

// methodsWithBody are the methods whose requests name a length also where it is 0.
var methodsWithBody = map[string]bool{http.MethodPost: true, http.MethodPut: true, http.MethodPatch: true}

func (r *Request) contentLength() string {
	if len(r.Body) == 0 && !methodsWithBody[r.Method] {
		return ""
	}
	return strconv.Itoa(len(r.Body))
}

// isPlainToken tells whether a word of the request's line has no byte that could end it.
func isPlainToken(word string) bool {
	return word != "" && strings.IndexFunc(word, func(letter rune) bool { return letter <= ' ' || letter == 0x7f }) < 0
}

// replacedHeaders are the heads that are made anew for each sending.
var replacedHeaders = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, "Connection": true,
	// The body is here, so whoever asked whether it is wanted has been told.
	"Expect":     true,
	TargetHeader: true, TimeLeftHeader: true, UrgencyHeader: true,
}

var replacedHeadersOnResume = withName(replacedHeaders, LastEventIDHeader)

func withName(names map[string]bool, more string) map[string]bool {
	made := map[string]bool{more: true}
	for name := range names {
		made[name] = true
	}
	return made
}
