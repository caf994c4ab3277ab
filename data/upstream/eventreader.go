package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ErrEventOrder is returned if the event ids of a stream do not increase by one or
// stop being numeric, if an event has more than one id, or if it has no lines.
var ErrEventOrder = errors.New("upstream: the event ids do not increase by one, or an event is malformed")

// maxEventBytes limits the size of an event.
const maxEventBytes = 4 << 20

var errEventTooLarge = errors.New("upstream: an event exceeds its size limit")

// EventReader reads a stream of server-sent events, one complete event at a
// time, and checks that their ids increase by one. It is not safe for concurrent use.
type EventReader struct {
	reader *bufio.Reader
	event  []byte
	// LastID is the id of the last event that had one. It is valid if HasLastID is
	// true.
	LastID    int64
	HasLastID bool
}

// NewEventReader returns a reader of a stream that continues after the event with
// the id lastEventID. If that is empty or not numeric, the stream may begin with any
// id.
func NewEventReader(body io.Reader, lastEventID string) *EventReader {
	events := &EventReader{reader: bufio.NewReaderSize(body, readBufferSize)}
	if id, err := strconv.ParseInt(lastEventID, 10, 64); err == nil {
		events.LastID, events.HasLastID = id, true
	}
	return events
}

// Next returns the bytes of the next complete event, valid until the next call.
// At the end of the stream it returns io.EOF, with the blank bytes after the last
// event. With any other error the bytes are those of an incomplete or invalid event,
// which must not be forwarded. A truncated event yields io.ErrUnexpectedEOF.
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
				// A blank line where an event should begin indicates wrong framing.
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

// advance checks the id of a complete event against the last id and records it.
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
