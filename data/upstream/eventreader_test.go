package upstream

import (
	"errors"
	"io"
	"strings"
	"testing"
)

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
		t.Fatalf("%q, %v", events, err)
	}
}

func TestEventReader_eventLargerThanBuffer(t *testing.T) {
	text := "id: 1\ndata: " + strings.Repeat("x", 20000) + "\n\n"
	events, _ := readEvents(NewEventReader(strings.NewReader(text), ""))
	if len(events) != 1 || events[0] != text {
		t.Fatalf("%d events", len(events))
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
		{"a gap", "", "id: 1\n\nid: 3\n\n", 1, true},
		{"twice", "", "id: 1\n\nid: 1\n\n", 1, true},
		{"goes on", "4", "id: 5\n\nid: 6\n\n", 2, false},
		{"begins anew", "4", "id: 1\n\n", 0, true},
		{"an id that can't be read", "4", "id: 5x\n\n", 0, true},
		{"two ids in one event", "4", "id: 9\nid: 5\n\n", 0, true},
		{"a blank one", "4", "id: 5\n\n\r\nid: 6\n\n", 1, true},
		{"no id", "4", ": still there\n\nid: 5\n\n", 2, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			events, err := readEvents(NewEventReader(strings.NewReader(tc.text), tc.after))
			if len(events) != tc.complete || errors.Is(err, ErrEventOrder) != tc.wrongOrder {
				t.Errorf("%d events, %v", len(events), err)
			}
		})
	}
}

func TestEventReader_truncatedEvent(t *testing.T) {
	events, err := readEvents(NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), ""))
	if len(events) != 1 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("%q, %v", events, err)
	}
}

// TestEventReader_endlessEvent has a stream whose first event never ends.
func TestEventReader_endlessEvent(t *testing.T) {
	endless := io.MultiReader(strings.NewReader("id: 1\ndata: "), io.LimitReader(zeroReader{}, 64<<20))
	if events, err := readEvents(NewEventReader(endless, "")); !errors.Is(err, errEventTooLarge) || len(events) > 0 {
		t.Fatalf("%d events, %v", len(events), err)
	}
}

type zeroReader struct{}

func (zeroReader) Read(buf []byte) (int, error) { return len(buf), nil }
