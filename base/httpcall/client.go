package httpcall

import (
	"bytes"
	"io"
	"net/http"
	"slices"

	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// Outgoing is what a question looks like on the wire.
type Outgoing struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Requester is a question that can be sent.
type Requester interface{ Outgoing() Outgoing }

// RawResponse is the raw answer to a question.
type RawResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// ResponseReader is an answer that can be read.
type ResponseReader interface{ Hear(heard RawResponse) error }

// maxResponseBytes bounds what is read of an answer to one of our own questions.
const maxResponseBytes = 64 << 20

// maxPresizedBytes is the most room that a length told ahead claims.
const maxPresizedBytes = 64 << 10

// readAll reads to the end, into room for the length that was told.
func readAll(from io.Reader, told int64) ([]byte, error) {
	whole := make([]byte, 0, min(max(told, 0), maxPresizedBytes)+1)
	for {
		size, err := from.Read(whole[len(whole):cap(whole)])
		whole = whole[:len(whole)+size]
		if err == io.EOF {
			return whole, nil
		}
		if err != nil {
			return whole, err
		}
		if len(whole) == cap(whole) {
			whole = slices.Grow(whole, 512)
		}
	}
}

// Do sends a question and reads its answer: the client's side of the one
// generic handler.
func Do[Told any, Pointer interface {
	*Told
	ResponseReader
}](ctx scope.Scope, client *http.Client, address ids.Address, asking Requester) (Told, error) {
	var told Told
	outgoing := asking.Outgoing()
	request, err := http.NewRequestWithContext(ctx, outgoing.Method, "http://"+string(address)+outgoing.Path, bytes.NewReader(outgoing.Body))
	if err != nil {
		return told, err
	}
	for name, values := range outgoing.Header {
		request.Header[name] = values
	}
	request.Header.Set("User-Agent", "")
	response, err := client.Do(request)
	if err != nil {
		return told, err
	}
	defer response.Body.Close()
	body, err := readAll(io.LimitReader(response.Body, maxResponseBytes), response.ContentLength)
	if err != nil {
		return told, err
	}
	return told, Pointer(&told).Hear(RawResponse{Status: response.StatusCode, Header: response.Header, Body: body})
}
