package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ErrOrder is told where the ids of a stream don't rise by one.
var ErrOrder = errors.New("forward: an event is missing or came twice")

// eventMost bounds an event's bytes.
const eventMost = 4 << 20

var errEndless = errors.New("forward: an event does not end")

// Events reads the whole events of a stream, one after another.
type Events struct {
	reader *bufio.Reader
	event  []byte
	// Last is the id of the last event; Known says that there was one.
	Last  int64
	Known bool
}

// NewEvents reads a stream that goes on after an event's id; an empty id is
// the start.
func NewEvents(body io.Reader, after string) *Events {
	events := &Events{reader: bufio.NewReaderSize(body, 4096)}
	if number, err := strconv.ParseInt(after, 10, 64); err == nil {
		events.Last, events.Known = number, true
	}
	return events
}

// Next gives the bytes of the next whole event, which are good until the next
// call. A rest that is no whole event comes with io.ErrUnexpectedEOF.
func (e *Events) Next() ([]byte, error) {
	e.event = e.event[:0]
	number, numbered := int64(0), false
	for {
		line, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, line...)
		if len(e.event) > eventMost {
			return e.event, errEndless
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.event)) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return e.event, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(bytes.Trim(e.event, "\r\n")) == 0 {
				// An event without a line is the end of a wrong frame.
				return e.event, ErrOrder
			}
			return e.event, e.follow(number, numbered)
		}
		if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			read, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil && e.Known || numbered {
				return e.event, ErrOrder
			}
			number, numbered = read, err == nil
		}
	}
}

func (e *Events) follow(number int64, numbered bool) error {
	if !numbered {
		return nil
	}
	if e.Known && number != e.Last+1 {
		return ErrOrder
	}
	e.Last, e.Known = number, true
	return nil
}
