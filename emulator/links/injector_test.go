package links

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func TestInjector_faultsOnNamedLinks(t *testing.T) {
	injector := &Injector{}
	closed := make(chan struct{})
	injector.Follow(strings.NewReader(`{"mute":["127.0.0.2"],"lost_answers":1}`))
	for _, test := range []struct {
		name string
		dir  direction
		peer string
		want error
	}{
		{"blocked direction", outbound, "127.0.0.2", errUnacknowledged},
		{"other direction", inbound, "127.0.0.2", nil},
		{"other peer", outbound, "127.0.0.3", nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := injector.await(test.dir, test.peer, closed, time.Millisecond); !errors.Is(err, test.want) {
				t.Errorf("%s: got %v, want %v", test.peer, err, test.want)
			}
		})
	}
	if !injector.dropsResponse() || !injector.dropsDatagram(outbound, "127.0.0.2") || injector.dropsDatagram(inbound, "127.0.0.2") {
		t.Error("responses or datagrams are not lost as set")
	}
	awaited := make(chan error, 1)
	go func() { awaited <- injector.await(outbound, "127.0.0.2", closed, 0) }()
	injector.Set(Faults{})
	if err := <-awaited; err != nil {
		t.Errorf("no longer blocked, and still %v", err)
	}
	injector.Set(Faults{BlockFrom: []string{"*"}})
	go func() { awaited <- injector.await(inbound, "127.0.0.9", closed, 0) }()
	close(closed)
	if err := <-awaited; !errors.Is(err, errClosed) {
		t.Errorf("a closed connection stays blocked: %v", err)
	}
}
