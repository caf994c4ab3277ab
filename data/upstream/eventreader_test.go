package upstream

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func readEvents(events *EventReader) ([]string, error) {
	var found []string
	for {
		event, err := events.Next()
		if err != nil {
			return found, err
		}
		found = append(found, string(event))
	}
}

func TestEventReader_returnsWholeEvents(t *testing.T) {
	text := "id: 1\ndata: a\n\nonyxwell-weight-versions: 2\nid: 2\r\ndata: b\r\n\r\n"
	found, err := readEvents(NewEventReader(strings.NewReader(text), ""))
	if !errors.Is(err, io.EOF) || len(found) != 2 || strings.Join(found, "") != text {
		t.Fatalf("%q, %v", found, err)
	}
}

func TestEventReader_eventLargerThanBuffer(t *testing.T) {
	text := "id: 1\ndata: " + strings.Repeat("x", 20000) + "\n\n"
	found, _ := readEvents(NewEventReader(strings.NewReader(text), ""))
	if len(found) != 1 || found[0] != text {
		t.Fatalf("%d events", len(found))
	}
}

func TestEventReader_idsRiseByOne(t *testing.T) {
	cases := []struct {
		name  string
		after string
		text  string
		good  int
		order bool
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
	for _, example := range cases {
		found, err := readEvents(NewEventReader(strings.NewReader(example.text), example.after))
		if len(found) != example.good || errors.Is(err, ErrEventOrder) != example.order {
			t.Errorf("%s: %d events, %v", example.name, len(found), err)
		}
	}
}

func TestEventReader_truncatedEvent(t *testing.T) {
	found, err := readEvents(NewEventReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), ""))
	if len(found) != 1 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("%q, %v", found, err)
	}
}

// TestEventReader_endlessEvent has a runner send one event for ever.
func TestEventReader_endlessEvent(t *testing.T) {
	endless := io.MultiReader(strings.NewReader("id: 1\ndata: "), io.LimitReader(zeroReader{}, 64<<20))
	if found, err := readEvents(NewEventReader(endless, "")); !errors.Is(err, errEventTooLarge) || len(found) > 0 {
		t.Fatalf("%d events, %v", len(found), err)
	}
}

type zeroReader struct{}

func (zeroReader) Read(buffer []byte) (int, error) { return len(buffer), nil }
