package upstream

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"onyxwell/base/clock"
)

// heads are the request's own heads as they go out.
func (t Trip) heads() http.Header {
	if t.LastEvent == "" {
		return t.Request.Header
	}
	return http.Header{LastEventField: {t.LastEvent}}
}

var errRequest = errors.New("forward: the request can't be written as one")

// head makes the head of the request. The body always has a length, which is
// our own.
func (t Trip) head(left clock.Span) ([]byte, error) {
	request := t.Request
	if !plain(request.Method) || !plain(request.Target) || !plain(request.Host) {
		return nil, errRequest
	}
	made := bytes.NewBuffer(make([]byte, 0, 1024+min(len(request.Body), atOnce)))
	made.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	own := [...]string{
		TargetHeader, string(t.Runner),
		LeftHeader, strconv.FormatInt(max(1, left.Milliseconds()), 10),
		UrgencyHeader, strconv.Itoa(min(9, max(0, t.Urgency))),
		"Content-Length", request.length(),
		LastEventField, t.LastEvent,
	}
	for index := 0; index < len(own); index += 2 {
		if own[index+1] != "" {
			made.WriteString(own[index] + ": " + own[index+1] + "\r\n")
		}
	}
	skipped := replaced
	if t.LastEvent != "" {
		skipped = replacedEvent
	}
	if err := request.Header.WriteSubset(made, skipped); err != nil {
		return nil, err
	}
	made.WriteString("\r\n")
	return made.Bytes(), nil
}

// bodied are the methods whose requests name a length also where it is 0.
var bodied = map[string]bool{http.MethodPost: true, http.MethodPut: true, http.MethodPatch: true}

func (r *Request) length() string {
	if len(r.Body) == 0 && !bodied[r.Method] {
		return ""
	}
	return strconv.Itoa(len(r.Body))
}

// plain tells whether a word of the request's line has no byte that could end it.
func plain(word string) bool {
	return word != "" && strings.IndexFunc(word, func(letter rune) bool { return letter <= ' ' || letter == 0x7f }) < 0
}

// replaced are the heads that are made anew for each sending.
var replaced = map[string]bool{
	"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true, "Connection": true,
	// The body is here, so whoever asked whether it is wanted has been told.
	"Expect":     true,
	TargetHeader: true, LeftHeader: true, UrgencyHeader: true,
}

var replacedEvent = with(replaced, LastEventField)

func with(names map[string]bool, more string) map[string]bool {
	made := map[string]bool{more: true}
	for name := range names {
		made[name] = true
	}
	return made
}
