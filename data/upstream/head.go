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
	errHead    = errors.New("forward: the bytes are no answer's head")
	errFraming = errors.New("forward: the answer's head does not say where its body ends")
)

// readAnswer reads the head of the answer; interim ones are passed over.
func (c *connection) readAnswer(method string) (*http.Response, error) {
	c.left = headLimit
	for {
		response, err := readHead(c.reader)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < 200 && response.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		c.left = unbounded
		source, length, err := c.frame(method, response)
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
		return nil, whole(err)
	}
	version, rest, _ := strings.Cut(line, " ")
	number, _, _ := strings.Cut(rest, " ")
	major, minor, known := http.ParseHTTPVersion(version)
	code, err := strconv.ParseUint(number, 10, 16)
	if !known || major != 1 || err != nil || len(number) != 3 || code < 100 {
		return nil, errHead
	}
	header, err := text.ReadMIMEHeader()
	if err != nil {
		return nil, whole(err)
	}
	for name, values := range header {
		if strings.IndexFunc(name, outside) >= 0 {
			return nil, errHead
		}
		for _, value := range values {
			if strings.IndexFunc(value, control) >= 0 {
				return nil, errHead
			}
		}
	}
	return &http.Response{
		Status: rest, StatusCode: int(code), Proto: version, ProtoMajor: major, ProtoMinor: minor, Header: http.Header(header),
		Close: minor == 0 || wantsClose(header["Connection"]),
	}, nil
}

func control(letter rune) bool { return letter < ' ' && letter != '\t' || letter == 0x7f }

// outside tells that a letter can't be part of a head's name.
func outside(letter rune) bool {
	return letter <= ' ' || letter >= 0x7f || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", letter)
}

// whole has an end inside of something that is not whole look like one.
func whole(err error) error {
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

// ends is the length of a body that ends with the connection, in order or not
// at all: a reset is no end. chunks is that of one whose pieces say where it ends.
const ends, chunks = -2, -1

// frame gives the body that follows a head, and its length. A head that says
// two different things of it is none.
func (c *connection) frame(method string, response *http.Response) (io.Reader, int64, error) {
	lengths, coded := response.Header["Content-Length"], response.Header["Transfer-Encoding"]
	length := int64(ends)
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
		length = chunks
	}
	if response.StatusCode == http.StatusNoContent && (length > 0 || length == chunks) {
		// The body that can't be may come yet.
		response.Close = true
	}
	if method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified {
		return http.NoBody, 0, nil
	}
	if length == chunks {
		return &chunked{link: c, data: httputil.NewChunkedReader(c.reader)}, length, nil
	}
	if length == ends {
		return c.reader, length, nil
	}
	return &counted{reader: c.reader, left: length}, length, nil
}

// counted reads a body of a known length.
type counted struct {
	reader io.Reader
	left   int64
}

func (c *counted) Read(buffer []byte) (int, error) {
	if c.left == 0 {
		return 0, io.EOF
	}
	if int64(len(buffer)) > c.left {
		buffer = buffer[:c.left]
	}
	size, err := c.reader.Read(buffer)
	if c.left -= int64(size); c.left == 0 {
		return size, io.EOF
	}
	return size, whole(err)
}

// chunked reads a body in chunks, with the trailer that ends it.
type chunked struct {
	link *connection
	data io.Reader
}

func (c *chunked) Read(buffer []byte) (int, error) {
	size, err := c.data.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return size, err
	}
	if torn := trailer(c.link.reader); torn != nil {
		return size, whole(torn)
	}
	return size, io.EOF
}

// trailerLimit bounds the bytes of what follows the last chunk.
const trailerLimit = 4096

// trailer reads what follows the last chunk, to the empty line.
func trailer(reader *bufio.Reader) error {
	for total := 0; total < trailerLimit; {
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
		if !ended || !named || name == "" || strings.IndexFunc(name, outside) >= 0 || strings.IndexFunc(value, control) >= 0 {
			return errFraming
		}
	}
	return errFraming
}
