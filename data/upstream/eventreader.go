package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ErrEventOrder is told where the ids of a stream don't rise by one.
var ErrEventOrder = errors.New("forward: an event is missing or came twice")

// maxEventBytes bounds an event's bytes.
const maxEventBytes = 4 << 20

var errEventTooLarge = errors.New("forward: an event does not end")

// EventReader reads the whole events of a stream, one after another.
type EventReader struct {
	reader *bufio.Reader
	event  []byte
	// LastID is the id of the last event; Known says that there was one.
	LastID    int64
	HasLastID bool
}

// NewEventReader reads a stream that goes on after an event's id; an empty id is
// the start.
func NewEventReader(body io.Reader, after string) *EventReader {
	events := &EventReader{reader: bufio.NewReaderSize(body, 4096)}
	if number, err := strconv.ParseInt(after, 10, 64); err == nil {
		events.LastID, events.HasLastID = number, true
	}
	return events
}

// Next gives the bytes of the next whole event, which are good until the next
// call. A rest that is no whole event comes with io.ErrUnexpectedEOF.
func (e *EventReader) Next() ([]byte, error) {
	e.event = e.event[:0]
	number, numbered := int64(0), false
	for {
		line, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, line...)
		if len(e.event) > maxEventBytes {
			return e.event, errEventTooLarge
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
				return e.event, ErrEventOrder
			}
			return e.event, e.advance(number, numbered)
		}
		if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			read, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil && e.HasLastID || numbered {
				return e.event, ErrEventOrder
			}
			number, numbered = read, err == nil
		}
	}
}

func (e *EventReader) advance(number int64, numbered bool) error {
	if !numbered {
		return nil
	}
	if e.HasLastID && number != e.LastID+1 {
		return ErrEventOrder
	}
	e.LastID, e.HasLastID = number, true
	return nil
}
