package httpcall

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"

	"onyxwell/base/ids"
)

// OutgoingRequest is a request as it is sent.
type OutgoingRequest struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Requester is a typed request that can be sent.
type Requester interface {
	// Encode encodes the request.
	Encode() OutgoingRequest
}

// RawResponse is a response as it was received, its body complete.
type RawResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// ResponseReader is a typed response that can be decoded.
type ResponseReader interface {
	// Decode decodes the response into the receiver. It decides which statuses are
	// errors.
	Decode(raw RawResponse) error
}

const (
	// maxResponseBytes bounds the body of a response; what follows is not read.
	maxResponseBytes = 64 << 20
	// maxPresizedBytes bounds what is allocated for a body on the word of its
	// Content-Length alone.
	maxPresizedBytes = 64 << 10
	// growStep is by how many bytes at least a full buffer grows.
	growStep = 512
)

// readAll reads to the end, into a buffer that is sized by the Content-Length;
// below 0 that is unknown.
func readAll(reader io.Reader, contentLength int64) ([]byte, error) {
	buffer := make([]byte, 0, min(max(contentLength, 0), maxPresizedBytes)+1)
	for {
		n, err := reader.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return buffer, err
		}
		if len(buffer) == cap(buffer) {
			buffer = slices.Grow(buffer, growStep)
		}
	}
}

// Do sends a request to the address and decodes the response. The error is the
// transport's, or that of the response's Decode. Redirects follow the client's
// policy; nothing is retried.
func Do[Response any, Pointer interface {
	*Response
	ResponseReader
}](ctx context.Context, client *http.Client, address ids.Address, requester Requester) (Response, error) {
	var resp Response
	outgoing := requester.Encode()
	req, err := http.NewRequestWithContext(ctx, outgoing.Method, "http://"+string(address)+outgoing.Path, bytes.NewReader(outgoing.Body))
	if err != nil {
		return resp, err
	}
	for name, values := range outgoing.Header {
		req.Header[name] = values
	}
	req.Header.Set("User-Agent", "")
	raw, err := client.Do(req)
	if err != nil {
		return resp, err
	}
	defer raw.Body.Close()
	body, err := readAll(io.LimitReader(raw.Body, maxResponseBytes), raw.ContentLength)
	if err != nil {
		return resp, err
	}
	return resp, Pointer(&resp).Decode(RawResponse{Status: raw.StatusCode, Header: raw.Header, Body: body})
}
