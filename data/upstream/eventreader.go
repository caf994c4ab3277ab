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
	// lines is the number of lines that are not blank. afterBlank reports whether blank
	// lines precede them, and named whether any of them is a field.
	lines      int
	afterBlank bool
	named      bool
	hasData    bool
	id         EventID
}

// NewEventReader returns a reader of a run's stream, which continues a sequence. If the
// sequence has no id yet, the stream may begin with any id.
func NewEventReader(body io.Reader, sequence *EventSequence) *EventReader {
	sequence.beginRun()
	return &EventReader{reader: bufio.NewReaderSize(body, readBufferSize), sequence: sequence}
}

// Next returns the bytes of the next complete event, valid until the next call. Blank
// lines between two events belong to the second. After the first event, a comment line
// between two events is returned on its own, so that it can be forwarded at once.
// At the end of the stream it returns io.EOF, with the blank and comment lines after the
// last event. With any other error the bytes are those of an incomplete or invalid event,
// which must not be forwarded. A truncated event yields io.ErrUnexpectedEOF.
func (e *EventReader) Next() ([]byte, error) {
	e.event, e.fields = e.event[:0], eventFields{}
	for {
		line, err := e.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && e.isTruncated(line) {
				err = io.ErrUnexpectedEOF
			}
			return e.event, err
		}
		field := bytes.TrimRight(line, "\r\n")
		switch {
		case len(field) == 0 && e.fields.lines > 0:
			return e.event, e.endEvent()
		case len(field) == 0:
			e.fields.afterBlank = true
		case isComment(field):
			if e.fields.lines == 0 && e.sequence.Last().IsSet() {
				return e.event, nil
			}
			e.fields.lines++
		default:
			if err := e.readField(field); err != nil {
				return e.event, err
			}
		}
	}
}

// isTruncated reports whether the stream ends within an event. rest is an incomplete
// last line.
func (e *EventReader) isTruncated(rest []byte) bool {
	return e.fields.named || (len(bytes.TrimSpace(rest)) > 0 && !isComment(rest))
}

func isComment(line []byte) bool { return line[0] == ':' }

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
	if !e.fields.named && e.fields.afterBlank && !bytes.Contains(field, []byte(":")) {
		// A chunk that is longer than its declared size leaves a blank line and the size
		// of the next chunk between two events.
		return ErrEventOrder
	}
	e.fields.lines, e.fields.named = e.fields.lines+1, true
	if bytes.HasPrefix(field, []byte("data")) {
		e.fields.hasData = true
	}
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
	if e.fields.hasData {
		e.sequence.appendUnnumbered()
	}
	return nil
}
