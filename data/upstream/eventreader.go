package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ErrEventOrder is returned where the event ids of a stream do not rise by one,
// or where an event has no line at all.
var ErrEventOrder = errors.New("upstream: an event is missing or came twice")

// maxEventBytes bounds an event's size.
const maxEventBytes = 4 << 20

var errEventTooLarge = errors.New("upstream: an event exceeds its size limit")

// EventReader reads a stream of server-sent events, one complete event at a
// time, and checks that their ids rise by one. It is not safe for concurrent use.
type EventReader struct {
	reader *bufio.Reader
	event  []byte
	// LastID is the id of the last event that had one, valid if HasLastID.
	LastID    int64
	HasLastID bool
}

// NewEventReader returns a reader of a stream that continues after the event
// with the id lastEventID; an empty or non-numeric id is the start of a stream.
func NewEventReader(body io.Reader, lastEventID string) *EventReader {
	events := &EventReader{reader: bufio.NewReaderSize(body, readBufferSize)}
	if id, err := strconv.ParseInt(lastEventID, 10, 64); err == nil {
		events.LastID, events.HasLastID = id, true
	}
	return events
}

// Next returns the bytes of the next complete event, valid until the next call.
// At the end of the stream it returns io.EOF; with any other error the bytes
// returned are those of an incomplete event, which must not be passed on. A
// truncated event yields io.ErrUnexpectedEOF.
func (e *EventReader) Next() ([]byte, error) {
	e.event = e.event[:0]
	id, hasID := int64(0), false
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
		field := bytes.TrimRight(line, "\r\n")
		if len(field) == 0 {
			if len(bytes.Trim(e.event, "\r\n")) == 0 {
				// A blank line where an event should begin is a sign of wrong framing.
				return e.event, ErrEventOrder
			}
			return e.event, e.advance(id, hasID)
		}
		if value, ok := bytes.CutPrefix(field, []byte("id:")); ok {
			parsed, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil && e.HasLastID || hasID {
				return e.event, ErrEventOrder
			}
			id, hasID = parsed, err == nil
		}
	}
}

// advance checks an event's id against the last one and moves on to it.
func (e *EventReader) advance(id int64, hasID bool) error {
	if !hasID {
		return nil
	}
	if e.HasLastID && id != e.LastID+1 {
		return ErrEventOrder
	}
	e.LastID, e.HasLastID = id, true
	return nil
}
