package answer

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"onyxwell/base/call"
	"onyxwell/base/failure"
)

// NewServer makes the server of a front. What it can't read gets a 4xx and a
// closed connection; nothing is answered past the front. How long heads and
// rests may take is up to the configuration in force.
func NewServer(front *Front) *http.Server {
	server := call.Server(front, asTheConnectionSays, asTheConnectionSays)
	server.ConnState = func(link net.Conn, state http.ConnState) {
		if watched, known := link.(*watched); known {
			rests(watched, state)
		}
	}
	// Its answer to "OPTIONS *" would be a success that no runner gave.
	server.DisableGeneralOptionsHandler = true
	server.ConnContext = func(ctx context.Context, link net.Conn) context.Context {
		if watched, known := link.(*watched); known {
			return context.WithValue(ctx, watchedKey{}, watched)
		}
		return ctx
	}
	return server
}

// Door has the connections of a listener watched for heads that say two things
// of where a body ends, which net/http mends without a word, and held to the
// limits in force.
func Door(front *Front, listener net.Listener) net.Listener {
	return door{Listener: listener, front: front, places: placesOf(front.options.Scope.Boot.Limits.OpenFiles)}
}

type door struct {
	net.Listener
	front  *Front
	places *places
}

// Close closes the door.
func (door door) Close() error {
	door.places.close()
	return door.Listener.Close()
}

// Accept gives the next connection.
func (door door) Accept() (net.Conn, error) {
	if err := door.places.take(); err != nil {
		return nil, err
	}
	link, err := door.Listener.Accept()
	if err != nil {
		door.places.leave()
		return nil, err
	}
	made := &watched{Conn: link, places: door.places}
	made.timing.limits = door.front.limits
	made.timing.enter(readingHead)
	made.links = &door.front.links
	made.links.add(made)
	return made, nil
}

type watchedKey struct{}

// watched is a visitor's connection. It reads along in the first head after an
// answer; a request that was sent before the answer to the one before is not
// looked at, and turned away where that leaves its frame in doubt.
type watched struct {
	net.Conn
	timing timing
	places *places
	links  *links
	left   sync.Once
	// answered says that something was written since the last head began.
	answered atomic.Bool
	// over says that the head has ended; line is the begin of its present line.
	over bool
	line []byte
	// lengths and codings count the heads that frame a body; heads counts the
	// requests that were taken since.
	lengths, codings, heads atomic.Int32
}

// nameMost is how much of a line is enough to know what it frames.
const nameMost = len("transfer-encoding:")

// Read reads along.
func (link *watched) Read(buffer []byte) (int, error) {
	size, err := link.Conn.Read(buffer)
	for size == 0 {
		until, more := link.timing.longer(err)
		if !more {
			break
		}
		if err = link.Conn.SetReadDeadline(until); err == nil {
			size, err = link.Conn.Read(buffer)
		}
	}
	if size > 0 {
		link.timing.begin()
		if link.answered.Swap(false) {
			link.over, link.line = false, link.line[:0]
			link.lengths.Store(0)
			link.codings.Store(0)
			link.heads.Store(0)
		}
		if !link.over {
			link.scan(buffer[:size])
		}
	}
	return size, err
}

// SetReadDeadline sets the deadline of the limits in force in place of
// net/http's, but while a request is being answered.
func (link *watched) SetReadDeadline(set time.Time) error {
	return link.Conn.SetReadDeadline(link.timing.deadline(set))
}

// Write notes that an answer went out.
func (link *watched) Write(buffer []byte) (int, error) {
	link.answered.Store(true)
	return link.Conn.Write(buffer)
}

// Close ends the connection and gives its place to another.
func (link *watched) Close() error {
	link.left.Do(func() {
		link.links.remove(link)
		link.places.leave()
	})
	return link.Conn.Close()
}

// CloseWrite ends our side alone, so that a last answer is not lost by a reset.
func (link *watched) CloseWrite() error {
	if half, able := link.Conn.(interface{ CloseWrite() error }); able {
		return half.CloseWrite()
	}
	return link.Conn.Close()
}

// spoil has the connection's end be a reset.
func (link *watched) spoil() {
	if able, known := link.Conn.(interface{ SetLinger(seconds int) error }); known {
		_ = able.SetLinger(0)
	}
}

func (link *watched) scan(text []byte) {
	for len(text) > 0 && !link.over {
		part, rest, ended := bytes.Cut(text, []byte("\n"))
		link.line = append(link.line, part[:min(len(part), nameMost-min(nameMost, len(link.line)))]...)
		text = rest
		if !ended {
			return
		}
		line := strings.ToLower(string(link.line))
		link.over = strings.TrimRight(line, "\r") == ""
		if strings.HasPrefix(line, "content-length:") {
			link.lengths.Add(1)
		}
		if strings.HasPrefix(line, "transfer-encoding:") {
			link.codings.Add(1)
		}
		link.line = link.line[:0]
	}
}

// torn tells whether the request's head says two things of its body, and whether
// that was seen.
func (link *watched) torn() (torn bool, seen bool) {
	lengths, codings := link.lengths.Load(), link.codings.Load()
	seen = link.heads.Add(1) == 1
	return seen && lengths+codings > 1, seen
}

// odd tells what is wrong with a request's head, beyond what net/http refuses.
func odd(request *http.Request) error {
	if reason := oddTarget(request); reason != "" {
		return failure.Of(failure.BadRequest, "%s", reason)
	}
	link, known := request.Context().Value(watchedKey{}).(*watched)
	if !known {
		return nil
	}
	torn, seen := link.torn()
	if torn {
		return failure.Of(failure.BadRequest, "the body's length is told twice")
	}
	if !seen && len(request.TransferEncoding) > 0 {
		// Beside the chunks there may have been a length. By itself it is proper.
		return failure.Of(failure.SentAhead, "")
	}
	return nil
}
