package proxy

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
)

// NewServer makes the server of a front. What it can't read gets a 4xx and a
// closed connection; nothing is answered past the front. How long heads and
// rests may take is up to the configuration in force.
func NewServer(front *Front) *http.Server {
	server := httpcall.NewServer(front, asTheConnectionSays, asTheConnectionSays)
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
	return door{Listener: listener, front: front, places: placesOf(front.options.Scope.Settings.Limits.OpenFiles)}
}

type door struct {
	net.Listener
	front  *Front
	places *places
}

// Close closes the door.
func (d door) Close() error {
	d.places.close()
	return d.Listener.Close()
}

// Accept gives the next connection.
func (d door) Accept() (net.Conn, error) {
	if err := d.places.take(); err != nil {
		return nil, err
	}
	link, err := d.Listener.Accept()
	if err != nil {
		d.places.leave()
		return nil, err
	}
	made := &watched{Conn: link, places: d.places}
	made.timing.limits = d.front.limits
	made.timing.enter(readingHead)
	made.links = &d.front.links
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
func (w *watched) Read(buffer []byte) (int, error) {
	size, err := w.Conn.Read(buffer)
	for size == 0 {
		until, more := w.timing.longer(err)
		if !more {
			break
		}
		if err = w.Conn.SetReadDeadline(until); err == nil {
			size, err = w.Conn.Read(buffer)
		}
	}
	if size > 0 {
		w.timing.begin()
		if w.answered.Swap(false) {
			w.over, w.line = false, w.line[:0]
			w.lengths.Store(0)
			w.codings.Store(0)
			w.heads.Store(0)
		}
		if !w.over {
			w.scan(buffer[:size])
		}
	}
	return size, err
}

// SetReadDeadline sets the deadline of the limits in force in place of
// net/http's, but while a request is being answered.
func (w *watched) SetReadDeadline(set time.Time) error {
	return w.Conn.SetReadDeadline(w.timing.deadline(set))
}

// Write notes that an answer went out.
func (w *watched) Write(buffer []byte) (int, error) {
	w.answered.Store(true)
	return w.Conn.Write(buffer)
}

// Close ends the connection and gives its place to another.
func (w *watched) Close() error {
	w.left.Do(func() {
		w.links.remove(w)
		w.places.leave()
	})
	return w.Conn.Close()
}

// CloseWrite ends our side alone, so that a last answer is not lost by a reset.
func (w *watched) CloseWrite() error {
	if half, able := w.Conn.(interface{ CloseWrite() error }); able {
		return half.CloseWrite()
	}
	return w.Conn.Close()
}

// spoil has the connection's end be a reset.
func (w *watched) spoil() {
	if able, known := w.Conn.(interface{ SetLinger(seconds int) error }); known {
		_ = able.SetLinger(0)
	}
}

func (w *watched) scan(text []byte) {
	for len(text) > 0 && !w.over {
		part, rest, ended := bytes.Cut(text, []byte("\n"))
		w.line = append(w.line, part[:min(len(part), nameMost-min(nameMost, len(w.line)))]...)
		text = rest
		if !ended {
			return
		}
		line := strings.ToLower(string(w.line))
		w.over = strings.TrimRight(line, "\r") == ""
		if strings.HasPrefix(line, "content-length:") {
			w.lengths.Add(1)
		}
		if strings.HasPrefix(line, "transfer-encoding:") {
			w.codings.Add(1)
		}
		w.line = w.line[:0]
	}
}

// torn tells whether the request's head says two things of its body, and whether
// that was seen.
func (w *watched) torn() (torn bool, seen bool) {
	lengths, codings := w.lengths.Load(), w.codings.Load()
	seen = w.heads.Add(1) == 1
	return seen && lengths+codings > 1, seen
}

// odd tells what is wrong with a request's head, beyond what net/http refuses.
func odd(request *http.Request) error {
	if reason := oddTarget(request); reason != "" {
		return errkind.Errorf(errkind.BadRequest, "%s", reason)
	}
	link, known := request.Context().Value(watchedKey{}).(*watched)
	if !known {
		return nil
	}
	torn, seen := link.torn()
	if torn {
		return errkind.Errorf(errkind.BadRequest, "the body's length is told twice")
	}
	if !seen && len(request.TransferEncoding) > 0 {
		// Beside the chunks there may have been a length. By itself it is proper.
		return errkind.Errorf(errkind.EarlyRequest, "")
	}
	return nil
}
