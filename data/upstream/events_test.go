package upstream

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func readAll(events *Events) ([]string, error) {
	var found []string
	for {
		event, err := events.Next()
		if err != nil {
			return found, err
		}
		found = append(found, string(event))
	}
}

func TestEventsComeWhole(t *testing.T) {
	text := "id: 1\ndata: a\n\nonyxwell-weight-versions: 2\nid: 2\r\ndata: b\r\n\r\n"
	found, err := readAll(NewEvents(strings.NewReader(text), ""))
	if !errors.Is(err, io.EOF) || len(found) != 2 || strings.Join(found, "") != text {
		t.Fatalf("%q, %v", found, err)
	}
}

func TestLongEventIsWhole(t *testing.T) {
	text := "id: 1\ndata: " + strings.Repeat("x", 20000) + "\n\n"
	found, _ := readAll(NewEvents(strings.NewReader(text), ""))
	if len(found) != 1 || found[0] != text {
		t.Fatalf("%d events", len(found))
	}
}

func TestEventsMustRiseByOne(t *testing.T) {
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
		found, err := readAll(NewEvents(strings.NewReader(example.text), example.after))
		if len(found) != example.good || errors.Is(err, ErrOrder) != example.order {
			t.Errorf("%s: %d events, %v", example.name, len(found), err)
		}
	}
}

func TestTornEventIsNoEvent(t *testing.T) {
	found, err := readAll(NewEvents(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), ""))
	if len(found) != 1 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("%q, %v", found, err)
	}
}

// TestEventWithoutAnEnd has a runner send one event for ever.
func TestEventWithoutAnEnd(t *testing.T) {
	endless := io.MultiReader(strings.NewReader("id: 1\ndata: "), io.LimitReader(zeros{}, 64<<20))
	if found, err := readAll(NewEvents(endless, "")); !errors.Is(err, errEndless) || len(found) > 0 {
		t.Fatalf("%d events, %v", len(found), err)
	}
}

type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) { return len(buffer), nil }
