package upstream

import (
	"errors"
	"io"
	"strings"
	"testing"
)

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
	events, err := readEvents(NewEventReader(strings.NewReader(text), ""))
	if !errors.Is(err, io.EOF) || len(events) != 2 || strings.Join(events, "") != text {
		t.Fatalf("events are %q, error %v", events, err)
	}
}

func TestEventReader_eventLargerThanBuffer(t *testing.T) {
	text := "id: 1\ndata: " + strings.Repeat("x", 20000) + "\n\n"
	events, _ := readEvents(NewEventReader(strings.NewReader(text), ""))
	if len(events) != 1 || events[0] != text {
		t.Fatalf("got %d events, want 1 that equals the input", len(events))
	}
}

func TestEventReader_idsIncreaseByOne(t *testing.T) {
	cases := []struct {
		name       string
		after      string
		text       string
		complete   int
		wrongOrder bool
	}{
		{"gap", "", "id: 1\n\nid: 3\n\n", 1, true},
		{"repeated id", "", "id: 1\n\nid: 1\n\n", 1, true},
		{"continues after the last event", "4", "id: 5\n\nid: 6\n\n", 2, false},
		{"starts over", "4", "id: 1\n\n", 0, true},
		{"id that is not numeric", "4", "id: 5x\n\n", 0, true},
		{"two ids in one event", "4", "id: 9\nid: 5\n\n", 0, true},
		{"event without lines", "4", "id: 5\n\n\r\nid: 6\n\n", 1, true},
		{"event without id", "4", ": still there\n\nid: 5\n\n", 2, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			events, err := readEvents(NewEventReader(strings.NewReader(tc.text), tc.after))
			if len(events) != tc.complete || errors.Is(err, ErrEventOrder) != tc.wrongOrder {
				t.Errorf("got %d events and error %v", len(events), err)
			}
		})
	}
}

func TestEventReader_truncatedEvent(t *testing.T) {
	events, err := readEvents(NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), ""))
	if len(events) != 1 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("events are %q, error %v", events, err)
	}
}

// TestEventReader_endlessEvent checks that an event without an end is rejected at
// the size limit.
func TestEventReader_endlessEvent(t *testing.T) {
	endless := io.MultiReader(strings.NewReader("id: 1\ndata: "), io.LimitReader(zeroReader{}, 64<<20))
	if events, err := readEvents(NewEventReader(endless, "")); !errors.Is(err, errEventTooLarge) || len(events) > 0 {
		t.Fatalf("got %d events and error %v, want no event and an error for the size", len(events), err)
	}
}

// zeroReader reads zero bytes without end.
type zeroReader struct{}

func (zeroReader) Read(buf []byte) (int, error) { return len(buf), nil }
