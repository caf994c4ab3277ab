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

// Asking is a question that can be sent.
type Asking interface{ Outgoing() Outgoing }

// Heard is the raw answer to a question.
type Heard struct {
	Status int
	Header http.Header
	Body   []byte
}

// Hearing is an answer that can be read.
type Hearing interface{ Hear(heard Heard) error }

// answerLimit bounds what is read of an answer to one of our own questions.
const answerLimit = 64 << 20

// presized is the most room that a length told ahead claims.
const presized = 64 << 10

// readWhole reads to the end, into room for the length that was told.
func readWhole(from io.Reader, told int64) ([]byte, error) {
	whole := make([]byte, 0, min(max(told, 0), presized)+1)
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

// Ask sends a question and reads its answer: the client's side of the one
// generic handler.
func Ask[Told any, Pointer interface {
	*Told
	Hearing
}](ctx scope.Scope, client *http.Client, address ids.Address, asking Asking) (Told, error) {
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
	body, err := readWhole(io.LimitReader(response.Body, answerLimit), response.ContentLength)
	if err != nil {
		return told, err
	}
	return told, Pointer(&told).Hear(Heard{Status: response.StatusCode, Header: response.Header, Body: body})
}
