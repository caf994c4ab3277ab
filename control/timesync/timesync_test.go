package timesync

import (
	"context"
	"testing"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/control/transport/transporttest"
)

// TestForms_keepTheirBytes checks the encoding of the messages of this package. The golden
// files hold the bytes that other builds wrote: never edit one.
func TestForms_keepTheirBytes(t *testing.T) {
	transporttest.Golden[SampleRequest](t, "sample-request")
	transporttest.Golden[SampleResponse](t, "sample-response")
}

// TestClock_toleratesSteppedClocks steps the wall clocks of two of six controllers forward
// and back by seconds, and then those of all six for some seconds. The agreed time of the
// controllers, and of a router that adopts it, must not be affected.
func TestClock_toleratesSteppedClocks(t *testing.T) {
	fake := clock.NewFake()
	start := time.Unix(1_700_000_000, 0)
	steps := make([]time.Duration, 6)
	clocks := map[ids.Address]*Clock{}
	var addresses []ids.Address
	for index := range steps {
		address := ids.Address(rune('a' + index))
		addresses = append(addresses, address)
		clocks[address] = New(Options{
			Clock: fake, Wall: func() time.Time { return start.Add(time.Duration(fake.Now()) + steps[index]) },
			Peers: func() (peers []ids.Address) {
				for _, peer := range addresses {
					if peer != address {
						peers = append(peers, peer)
					}
				}
				return peers
			},
			Ask: func(ctx context.Context, peer ids.Address) (SampleResponse, error) {
				return clocks[peer].ServeSample(ctx, SampleRequest{})
			},
		})
	}
	router := New(Options{Clock: fake, Wall: func() time.Time { return start.Add(time.Hour) }})
	check := func(phase string) {
		t.Helper()
		for _, address := range addresses {
			clocks[address].Sample(context.Background())
		}
		router.Adopt(int64(clocks["a"].Now()), fake.Now())
		want := time.Duration(start.UnixNano()) + time.Duration(fake.Now())
		for _, address := range addresses {
			if got := clocks[address].Now(); got != want {
				t.Errorf("%s: agreed time of controller %s is off by %v", phase, address, got-want)
			}
		}
		if got := router.Now(); got != want {
			t.Errorf("%s: agreed time of the router is off by %v", phase, got-want)
		}
	}
	check("no clock stepped")
	steps[0], steps[4] = 2*time.Second, 2*time.Second
	fake.Advance(time.Second)
	check("two clocks ahead")
	steps[0], steps[4] = -2*time.Second, 2*time.Second
	fake.Advance(time.Second)
	check("one clock ahead, one behind")
	steps[0], steps[4] = 0, 0
	fake.Advance(time.Second)
	check("clocks stepped back")
	for index := range steps {
		steps[index] = 1400 * time.Millisecond
	}
	fake.Advance(time.Second)
	check("all clocks ahead")
	for range 9 {
		fake.Advance(time.Second)
		check("all clocks ahead for some seconds")
	}
	steps = make([]time.Duration, len(steps))
	fake.Advance(time.Second)
	check("all clocks stepped back")
}

// TestClock_acceptsPersistentStep steps a wall clock permanently: ServeSample ignores the
// step at first and follows it after stepPersistence.
func TestClock_acceptsPersistentStep(t *testing.T) {
	fake := clock.NewFake()
	start, step := time.Unix(1_700_000_000, 0), time.Duration(0)
	alone := New(Options{Clock: fake, Wall: func() time.Time { return start.Add(time.Duration(fake.Now()) + step) }, Peers: func() []ids.Address { return nil }})
	offBy := func() time.Duration {
		resp, _ := alone.ServeSample(context.Background(), SampleRequest{})
		return time.Duration(resp.UnixNanos - start.Add(time.Duration(fake.Now())).UnixNano())
	}
	fake.Advance(time.Second)
	step = 5 * time.Second
	if got := offBy(); got != 0 {
		t.Errorf("time moved by %v immediately after the step, want 0", got)
	}
	fake.Advance(stepPersistence + time.Second)
	if got := offBy(); got != step {
		t.Errorf("time moved by %v after %v, want %v", got, stepPersistence, step)
	}
}

// TestClock_fewClocks runs a controller without peers and one with a single peer. It is
// synchronized after minRounds rounds, and a step of the clocks then has no effect.
func TestClock_fewClocks(t *testing.T) {
	for _, peers := range [][]ids.Address{nil, {"b"}} {
		fake, start, step := clock.NewFake(), time.Unix(1_700_000_000, 0), time.Duration(0)
		wall := func() time.Time { return start.Add(time.Duration(fake.Now()) + step) }
		alone := New(Options{
			Clock: fake, Wall: wall, Peers: func() []ids.Address { return peers },
			Ask: func(context.Context, ids.Address) (SampleResponse, error) {
				return SampleResponse{UnixNanos: wall().UnixNano()}, nil
			},
		})
		for round := 1; round <= minRounds; round++ {
			if alone.Synced() {
				t.Errorf("%d peers: synced after %d rounds", len(peers), round-1)
			}
			alone.Sample(context.Background())
			fake.Advance(interval)
		}
		want := alone.Now()
		step = 2 * time.Second
		alone.Sample(context.Background())
		if !alone.Synced() || alone.Now() != want {
			t.Errorf("%d peers: after a step: synced %v, off by %v", len(peers), alone.Synced(), alone.Now()-want)
		}
	}
}
