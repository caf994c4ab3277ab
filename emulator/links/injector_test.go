package links

import (
	"errors"
	"strings"
	"testing"

	"onyxwell/base/clock"
)

func TestInjector_faultsOnNamedLinks(t *testing.T) {
	l := &Injector{}
	closed := make(chan struct{})
	l.Follow(strings.NewReader(`{"mute":["127.0.0.2"],"lost_answers":1}`))
	for _, example := range []struct {
		way  direction
		peer string
		want error
	}{
		{outbound, "127.0.0.2", errUnacknowledged}, {inbound, "127.0.0.2", nil}, {outbound, "127.0.0.3", nil},
	} {
		if err := l.await(example.way, example.peer, closed, clock.Millisecond); !errors.Is(err, example.want) {
			t.Errorf("%s: %v, not %v", example.peer, err, example.want)
		}
	}
	if !l.dropsResponse() || !l.dropsDatagram(outbound, "127.0.0.2") || l.dropsDatagram(inbound, "127.0.0.2") {
		t.Error("answers or datagrams do not go as they were told")
	}
	passed := make(chan error, 1)
	go func() { passed <- l.await(outbound, "127.0.0.2", closed, 0) }()
	l.Set(Faults{})
	if err := <-passed; err != nil {
		t.Errorf("whole again, and %v", err)
	}
	l.Set(Faults{BlockFrom: []string{"*"}})
	go func() { passed <- l.await(inbound, "127.0.0.9", closed, 0) }()
	close(closed)
	if err := <-passed; !errors.Is(err, errClosed) {
		t.Errorf("a closed connection waits on: %v", err)
	}
}
