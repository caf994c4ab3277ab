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
	errMalformedHead = errors.New("forward: the bytes are no answer's head")
	errFraming       = errors.New("forward: the answer's head does not say where its body ends")
)

// readResponse reads the head of the answer; interim ones are passed over.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.headBytesLeft = maxHeadBytes
	for {
		response, err := readHead(c.reader)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		c.headBytesLeft = noHeadLimit
		source, length, err := c.openBody(method, response)
		if err != nil {
			return nil, err
		}
		response.Body, response.ContentLength = io.NopCloser(source), length
		return response, nil
	}
}

// readHead reads one head, to the empty line.
func readHead(reader *bufio.Reader) (*http.Response, error) {
	text := textproto.NewReader(reader)
	line, err := text.ReadLine()
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	version, rest, _ := strings.Cut(line, " ")
	number, _, _ := strings.Cut(rest, " ")
	major, minor, known := http.ParseHTTPVersion(version)
	code, err := strconv.ParseUint(number, 10, 16)
	if !known || major != 1 || err != nil || len(number) != 3 || code < 100 {
		return nil, errMalformedHead
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, unexpectedEOF(err)
	}
	for name, values := range header {
		if strings.IndexFunc(name, isInvalidInName) >= 0 {
			return nil, errMalformedHead
		}
		for _, value := range values {
			if strings.IndexFunc(value, isControl) >= 0 {
				return nil, errMalformedHead
			}
		}
	}
	return &http.Response{
		Status: rest, StatusCode: int(code), Proto: version, ProtoMajor: major, ProtoMinor: minor, Header: http.Header(header),
		Close: minor == 0 || wantsClose(header["Connection"]),
	}, nil
}

func isControl(letter rune) bool { return letter < ' ' && letter != '\t' || letter == 0x7f }

// isInvalidInName tells that a letter can't be part of a head's name.
func isInvalidInName(letter rune) bool {
	return letter <= ' ' || letter >= 0x7f || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", letter)
}

// unexpectedEOF has an end inside of something that is not whole look like one.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func wantsClose(values []string) bool {
	for _, value := range values {
		for _, token := range strings.Split(value, ",") {
			if strings.EqualFold(strings.TrimSpace(token), "close") {
				return true
			}
		}
	}
	return false
}

// lengthUntilClose is the length of a body that ends with the connection, in order or not
// at all: a reset is no end. chunks is that of one whose pieces say where it ends.
const lengthUntilClose, lengthChunked = -2, -1

// openBody gives the body that follows a head, and its length. A head that says
// two different things of it is none.
func (c *conn) openBody(method string, response *http.Response) (io.Reader, int64, error) {
	lengths, coded := response.Header["Content-Length"], response.Header["Transfer-Encoding"]
	length := int64(lengthUntilClose)
	for _, text := range lengths {
		told, err := strconv.ParseUint(strings.TrimSpace(text), 10, 62)
		if err != nil || length >= 0 && length != int64(told) {
			return nil, 0, errFraming
		}
		length = int64(told)
	}
	if len(coded) > 0 {
		if len(coded) != 1 || !strings.EqualFold(coded[0], "chunked") || len(lengths) > 0 || response.ProtoMinor == 0 {
			return nil, 0, errFraming
		}
		length = lengthChunked
	}
	if response.StatusCode == http.StatusNoContent && (length > 0 || length == lengthChunked) {
		// The body that can't be may come yet.
		response.Close = true
	}
	if method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		return http.NoBody, 0, nil
	}
	if length == lengthChunked {
		return &chunkedReader{conn: c, chunks: httputil.NewChunkedReader(c.reader)}, length, nil
	}
	if length == lengthUntilClose {
		return c.reader, length, nil
	}
	return &lengthReader{reader: c.reader, remaining: length}, length, nil
}

// lengthReader reads a body of a known length.
type lengthReader struct {
	reader    io.Reader
	remaining int64
}

func (l *lengthReader) Read(buffer []byte) (int, error) {
	if l.remaining == 0 {
		return 0, io.EOF
	}
	if int64(len(buffer)) > l.remaining {
		buffer = buffer[:l.remaining]
	}
	size, err := l.reader.Read(buffer)
	if l.remaining -= int64(size); l.remaining == 0 {
		return size, io.EOF
	}
	return size, unexpectedEOF(err)
}

// chunkedReader reads a body in chunks, with the trailer that ends it.
type chunkedReader struct {
	conn   *conn
	chunks io.Reader
}

func (c *chunkedReader) Read(buffer []byte) (int, error) {
	size, err := c.chunks.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return size, err
	}
	if torn := readTrailer(c.conn.reader); torn != nil {
		return size, unexpectedEOF(torn)
	}
	return size, io.EOF
}

// maxTrailerBytes bounds the bytes of what follows the last chunk.
const maxTrailerBytes = 4096

// readTrailer reads what follows the last chunk, to the empty line.
func readTrailer(reader *bufio.Reader) error {
	for total := 0; total < maxTrailerBytes; {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		total += len(line)
		text, ended := strings.CutSuffix(string(line), "\r\n")
		if text == "" && ended {
			return nil
		}
		name, value, named := strings.Cut(text, ":")
		if !ended || !named || name == "" || strings.IndexFunc(name, isInvalidInName) >= 0 || strings.IndexFunc(value, isControl) >= 0 {
			return errFraming
		}
	}
	return errFraming
}
