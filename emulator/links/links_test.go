package links

import (
	"errors"
	"strings"
	"testing"

	"onyxwell/base/clock"
)

func TestOrdersBreakTheWaysTheyName(t *testing.T) {
	l := &Links{}
	closed := make(chan struct{})
	l.Obey(strings.NewReader(`{"mute":["127.0.0.2"],"lost_answers":1}`))
	for _, example := range []struct {
		way  direction
		peer string
		want error
	}{
		{outward, "127.0.0.2", errSilent}, {inward, "127.0.0.2", nil}, {outward, "127.0.0.3", nil},
	} {
		if err := l.pass(example.way, example.peer, closed, clock.Millisecond); !errors.Is(err, example.want) {
			t.Errorf("%s: %v, not %v", example.peer, err, example.want)
		}
	}
	if !l.losesAnswer() || !l.drops(outward, "127.0.0.2") || l.drops(inward, "127.0.0.2") {
		t.Error("answers or datagrams do not go as they were told")
	}
	passed := make(chan error, 1)
	go func() { passed <- l.pass(outward, "127.0.0.2", closed, 0) }()
	l.Set(Order{})
	if err := <-passed; err != nil {
		t.Errorf("whole again, and %v", err)
	}
	l.Set(Order{Deaf: []string{"*"}})
	go func() { passed <- l.pass(inward, "127.0.0.9", closed, 0) }()
	close(closed)
	if err := <-passed; !errors.Is(err, errClosed) {
		t.Errorf("a closed connection waits on: %v", err)
	}
}
