package upstream

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
)

// newReaderAfter returns a reader of a stream that continues after an id, which may be
// empty.
func newReaderAfter(after string, text string) *EventReader {
	sequence := ResumedAfter(ParseEventID(after))
	return NewEventReader(strings.NewReader(text), &sequence)
}

// readEvents returns the events up to the first error, and that error.
func readEvents(reader *EventReader) ([]string, error) {
	var events []string
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(event))
	}
}

func TestEventReader_returnsWholeEvents(t *testing.T) {
	text := "id: 1\ndata: a\n\nonyxwell-weight-versions: 2\nid: 2\r\ndata: b\r\n\r\n"
	events, err := readEvents(NewEventReader(strings.NewReader(text), &EventSequence{}))
	if !errors.Is(err, io.EOF) || len(events) != 2 || strings.Join(events, "") != text {
		t.Fatalf("events are %q, error %v", events, err)
	}
}

func TestEventReader_eventLargerThanBuffer(t *testing.T) {
	text := "id: 1\ndata: " + strings.Repeat("x", 20000) + "\n\n"
	events, _ := readEvents(NewEventReader(strings.NewReader(text), &EventSequence{}))
	if len(events) != 1 || events[0] != text {
		t.Fatalf("got %d events, want 1 that equals the input", len(events))
	}
}

// TestEventReader_idsRise guards against streams that are cut because their ids rise by
// more than one, and against ids that do not rise.
func TestEventReader_idsRise(t *testing.T) {
	cases := []struct {
		name       string
		after      string
		text       string
		complete   int
		wrongOrder bool
	}{
		{"by one", "", "id: 1\n\nid: 2\n\n", 2, false},
		{"by seven", "", "id: 7\n\nid: 14\n\nid: 21\n\n", 3, false},
		{"by seven, then a shorter event", "", "id: 7\n\nid: 14\n\nid: 15\n\n", 3, false},
		{"from 0", "", "id: 0\n\nid: 1\n\n", 2, false},
		{"from 5,000", "", "id: 5000\n\nid: 5003\n\nid: 5004\n\n", 3, false},
		{"irregular", "", "id: 1\n\nid: 2\n\nid: 3\n\nid: 1000\n\nid: 1001\n\n", 5, false},
		{"beyond 64 bits", "", "id: 9223372036854775807\n\nid: 92233720368547758080\n\n", 2, false},
		{"falls beyond 64 bits", "", "id: 92233720368547758080\n\nid: 9223372036854775807\n\n", 1, true},
		{"repeated id", "", "id: 1\n\nid: 1\n\n", 1, true},
		{"repeated id with a leading zero", "", "id: 1\n\nid: 01\n\n", 1, true},
		{"goes back", "", "id: 7\n\nid: 14\n\nid: 8\n\n", 2, true},
		{"continues by seven", "14", "id: 21\n\nid: 28\n\n", 2, false},
		{"repeats the last event", "4", "id: 4\n\n", 0, true},
		{"continues after the last event", "4", "id: 5\n\nid: 6\n\n", 2, false},
		{"starts over", "4", "id: 1\n\n", 0, true},
		{"id that is not numeric", "4", "id: 5x\n\n", 0, true},
		{"two ids in one event", "4", "id: 9\nid: 5\n\n", 0, true},
		{"chunk size between events", "4", "id: 5\n\n\r\n1a\r\nid: 6\n\n", 1, true},
		{"event without id", "4", ": still there\n\nid: 5\n\n", 2, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			events, err := readEvents(newReaderAfter(tc.after, tc.text))
			if len(events) != tc.complete || errors.Is(err, ErrEventOrder) != tc.wrongOrder {
				t.Errorf("got %d events and error %v", len(events), err)
			}
		})
	}
}

// TestEventReader_linesBetweenEvents guards against streams that are cut because of blank or
// comment lines between their events, which text/event-stream allows.
func TestEventReader_linesBetweenEvents(t *testing.T) {
	cases := []struct {
		name   string
		text   string
		events []string
		rest   string
	}{
		{"two blank lines", "id: 5\n\n\nid: 6\n\n", []string{"id: 5\n\n", "\nid: 6\n\n"}, ""},
		{"blank lines first and last", "\r\nid: 5\r\n\r\n\r\n\r\n", []string{"\r\nid: 5\r\n\r\n"}, "\r\n\r\n"},
		{"comment line of its own", "id: 5\n\n: wait\nid: 6\n\n", []string{"id: 5\n\n", ": wait\n", "id: 6\n\n"}, ""},
		{"comment event", "id: 5\n\n:\n\nid: 6\n\n", []string{"id: 5\n\n", ":\n", "\nid: 6\n\n"}, ""},
		{"comment before the first event", ": wait\nid: 5\n\n", []string{": wait\nid: 5\n\n"}, ""},
		{"comment at the end", "id: 5\n\n: end\n", []string{"id: 5\n\n", ": end\n"}, ""},
		{"comment at the end without a line end", "id: 5\n\n: end", []string{"id: 5\n\n"}, ": end"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			reader := newReaderAfter("", tc.text)
			events, err := readEvents(reader)
			if !errors.Is(err, io.EOF) || !slices.Equal(events, tc.events) || string(reader.event) != tc.rest {
				t.Errorf("got events %q, then %q with error %v", events, reader.event, err)
			}
		})
	}
}

// TestEventReader_linesLongerThanBuffer guards against a part of a long line that is taken
// for a line: a blank one, or one with an id.
func TestEventReader_linesLongerThanBuffer(t *testing.T) {
	for _, rest := range []string{"", "id: 1", "id: x"} {
		longLine := "data: " + strings.Repeat("x", readBufferSize-len("data: ")) + rest
		text := longLine + "\nid: 7\ndata: a\n\nid: 8\n\n"
		events, err := readEvents(newReaderAfter("6", text))
		if !errors.Is(err, io.EOF) || len(events) != 2 || strings.Join(events, "") != text {
			t.Errorf("after %q: got %d events and error %v, want 2", rest, len(events), err)
		}
	}
}

func TestEventReader_truncatedEvent(t *testing.T) {
	events, err := readEvents(NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), &EventSequence{}))
	if len(events) != 1 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("events are %q, error %v", events, err)
	}
}

// TestEventReader_endlessEvent checks that an event without an end is rejected at
// the size limit.
func TestEventReader_endlessEvent(t *testing.T) {
	endless := io.MultiReader(strings.NewReader("id: 1\ndata: "), io.LimitReader(zeroReader{}, 64<<20))
	if events, err := readEvents(NewEventReader(endless, &EventSequence{})); !errors.Is(err, errEventTooLarge) || len(events) > 0 {
		t.Fatalf("got %d events and error %v, want no event and an error for the size", len(events), err)
	}
}

// zeroReader reads zero bytes without end.
type zeroReader struct{}

func (zeroReader) Read(buf []byte) (int, error) { return len(buf), nil }
