package upstream

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
)

var (
	errMalformedHead = errors.New("upstream: the response head is malformed")
	errFraming       = errors.New("upstream: the response framing is ambiguous or malformed")
)

// Lengths of bodies without a Content-Length. A body of lengthUntilClose is complete
// when the connection is closed in an orderly way, but not when it is reset.
const (
	lengthUntilClose = -2
	lengthChunked    = -1
)

// maxTrailerBytes limits the size of the trailer section after the last chunk.
const maxTrailerBytes = 4096

// readResponse reads the head of the final response, skipping interim (1xx)
// responses except 101 Switching Protocols, and sets up its body.
func (p *persistConn) readResponse(method string) (*http.Response, error) {
	p.headBytesLeft = maxHeadBytes
	for {
		resp, err := readHead(p.reader)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		p.headBytesLeft = noHeadLimit
		body, length, err := p.openBody(method, resp)
		if err != nil {
			return nil, err
		}
		resp.Body, resp.ContentLength = io.NopCloser(body), length
		return resp, nil
	}
}

// readHead reads a status line and the header that follows it.
func readHead(reader *bufio.Reader) (*http.Response, error) {
	headReader := textproto.NewReader(reader)
	line, err := headReader.ReadLine()
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	proto, status, _ := strings.Cut(line, " ")
	codeText, _, _ := strings.Cut(status, " ")
	major, minor, ok := http.ParseHTTPVersion(proto)
	code, err := strconv.ParseUint(codeText, 10, 16)
	if !ok || major != 1 || err != nil || len(codeText) != 3 || code < 100 {
		return nil, errMalformedHead
	}
	header, err := headReader.ReadMIMEHeader()
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	for name, values := range header {
		if strings.IndexFunc(name, isInvalidInName) >= 0 {
			return nil, errMalformedHead
		}
		for _, value := range values {
			if strings.IndexFunc(value, isInvalidInValue) >= 0 {
				return nil, errMalformedHead
			}
		}
	}
	return &http.Response{
		Status: status, StatusCode: int(code), Proto: proto, ProtoMajor: major, ProtoMinor: minor, Header: http.Header(header),
		Close: minor == 0 || wantsClose(header["Connection"]),
	}, nil
}

// isInvalidInValue reports whether a rune must not occur in a header value: it is a
// control character other than tab.
func isInvalidInValue(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }

// isInvalidInName reports whether a rune must not occur in a header name, which is a
// token (RFC 9110, section 5.6.2).
func isInvalidInName(r rune) bool {
	return r <= ' ' || r >= 0x7f || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", r)
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF. It is used where the input
// must not end yet.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// wantsClose reports whether the values of a Connection header include the close
// option.
func wantsClose(values []string) bool {
	for _, value := range values {
		for _, option := range strings.Split(value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), "close") {
				return true
			}
		}
	}
	return false
}

// openBody returns a reader of the body that follows a head, and the body's length,
// which may be lengthChunked or lengthUntilClose.
func (p *persistConn) openBody(method string, resp *http.Response) (io.Reader, int64, error) {
	length, err := bodyLength(resp)
	if err != nil {
		return nil, 0, err
	}
	if resp.StatusCode == http.StatusNoContent && (length > 0 || length == lengthChunked) {
		// A 204 response has no body, but the runner may send the one that it announces.
		resp.Close = true
	}
	if method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return http.NoBody, 0, nil
	}
	switch length {
	case lengthChunked:
		return &chunkedReader{reader: p.reader, chunks: httputil.NewChunkedReader(p.reader)}, length, nil
	case lengthUntilClose:
		return p.reader, length, nil
	default:
		return &lengthReader{reader: p.reader, remaining: length}, length, nil
	}
}

// bodyLength returns the body length according to a response head. Ambiguous framing
// is an error, since the router and the runner could disagree on where the next
// response begins.
func bodyLength(resp *http.Response) (int64, error) {
	lengths, codings := resp.Header["Content-Length"], resp.Header["Transfer-Encoding"]
	length := int64(lengthUntilClose)
	for _, value := range lengths {
		parsed, err := strconv.ParseUint(strings.TrimSpace(value), 10, 62)
		if err != nil || length >= 0 && length != int64(parsed) {
			return 0, errFraming
		}
		length = int64(parsed)
	}
	if len(codings) == 0 {
		return length, nil
	}
	if len(codings) != 1 || !strings.EqualFold(codings[0], "chunked") || len(lengths) > 0 || resp.ProtoMinor == 0 {
		return 0, errFraming
	}
	return lengthChunked, nil
}

// lengthReader reads a body of a known length.
type lengthReader struct {
	reader    io.Reader
	remaining int64
}

// Read returns io.EOF together with the last byte of the body.
func (l *lengthReader) Read(buf []byte) (int, error) {
	if l.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(buf)) > l.remaining {
		buf = buf[:l.remaining]
	}
	n, err := l.reader.Read(buf)
	if l.remaining -= int64(n); l.remaining == 0 {
		return n, io.EOF
	}
	return n, unexpectedEOF(err)
}

// chunkedReader reads a chunked body and the trailer section at its end.
type chunkedReader struct {
	reader *bufio.Reader
	chunks io.Reader
}

// Read returns io.EOF only after a complete trailer section.
func (c *chunkedReader) Read(buf []byte) (int, error) {
	n, err := c.chunks.Read(buf)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := readTrailer(c.reader); err != nil {
		return n, unexpectedEOF(err)
	}
	return n, io.EOF
}

// readTrailer reads and discards the trailer section, up to and including the empty
// line that ends it.
func readTrailer(reader *bufio.Reader) error {
	for total := 0; total < maxTrailerBytes; {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		total += len(line)
		field, terminated := strings.CutSuffix(string(line), "\r\n")
		if field == "" && terminated {
			return nil
		}
		name, value, ok := strings.Cut(field, ":")
		if !terminated || !ok || name == "" || strings.IndexFunc(name, isInvalidInName) >= 0 || strings.IndexFunc(value, isInvalidInValue) >= 0 {
			return errFraming
		}
	}
	return errFraming
}
