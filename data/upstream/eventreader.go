package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes limits the size of an event.
const maxEventBytes = 4 << 20

var errEventTooLarge = errors.New("upstream: an event exceeds its size limit")

// EventReader reads a stream of server-sent events, one complete event at a
// time, and checks that their ids rise. It is not safe for concurrent use.
type EventReader struct {
	reader   *bufio.Reader
	sequence *EventSequence
	event    []byte
	fields   eventFields
}

// eventFields is what is known of the event that is being read.
type eventFields struct {
	lines int
	id    EventID
}

// NewEventReader returns a reader of a run's stream, which continues a sequence. If the
// sequence has no id yet, the stream may begin with any id.
func NewEventReader(body io.Reader, sequence *EventSequence) *EventReader {
	sequence.beginRun()
	return &EventReader{reader: bufio.NewReaderSize(body, readBufferSize), sequence: sequence}
}

// Next returns the bytes of the next complete event, valid until the next call.
// At the end of the stream it returns io.EOF, with the blank bytes after the last
// event. With any other error the bytes are those of an incomplete or invalid event,
// which must not be forwarded. A truncated event yields io.ErrUnexpectedEOF.
func (e *EventReader) Next() ([]byte, error) {
	e.event, e.fields = e.event[:0], eventFields{}
	for {
		line, err := e.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.event)) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return e.event, err
		}
		field := bytes.TrimRight(line, "\r\n")
		if len(field) > 0 {
			if err := e.readField(field); err != nil {
				return e.event, err
			}
			continue
		}
		if e.fields.lines == 0 {
			// A blank line where an event should begin indicates wrong framing.
			return e.event, ErrEventOrder
		}
		return e.event, e.endEvent()
	}
}

// readLine appends the next line to the event and returns it. On an error, the bytes of
// an incomplete line have been appended.
func (e *EventReader) readLine() ([]byte, error) {
	start := len(e.event)
	for {
		part, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, part...)
		if len(e.event) > maxEventBytes {
			return nil, errEventTooLarge
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return e.event[start:], err
		}
	}
}

// readField reads a line of an event, without its end.
func (e *EventReader) readField(field []byte) error {
	e.fields.lines++
	value, isID := bytes.CutPrefix(field, []byte("id:"))
	if !isID {
		return nil
	}
	id := ParseEventID(string(bytes.TrimSpace(value)))
	if e.fields.id.IsSet() || (!id.IsSet() && e.sequence.Last().IsSet()) {
		return ErrEventOrder
	}
	e.fields.id = id
	return nil
}

// endEvent adds a complete event to the sequence.
func (e *EventReader) endEvent() error {
	if e.fields.id.IsSet() {
		return e.sequence.appendNumbered(e.fields.id)
	}
	return nil
}
