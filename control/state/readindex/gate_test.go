package readindex

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/logtest"
	"onyxwell/base/proptest"
	"onyxwell/base/scope"
)

func TestMain(m *testing.M) { proptest.Run(m) }

const testMaxWait = 750 * time.Millisecond

// testGate is a router's gate with two controllers: one is always partitioned, the
// other while partitioned is set.
type testGate struct {
	ctx            scope.Scope
	log            *logtest.Buffer
	applied        chan struct{}
	appliedVersion atomic.Int64
	newestVersion  atomic.Int64
	partitioned    atomic.Bool
	queries        atomic.Int64
	runEnded       atomic.Bool
	gate           *Gate
}

func newTestGate(t *testing.T) *testGate {
	tg := &testGate{log: &logtest.Buffer{}, applied: make(chan struct{})}
	tg.ctx = scope.New(scope.Options{Log: scope.NewLogger("info", tg.log)})
	ctx, cancel := tg.ctx.WithCancel()
	tg.ctx = ctx
	t.Cleanup(func() { cancel(); scope.New(scope.Options{}).Wait(testMaxWait) })
	tg.gate = NewGate(Options{
		Clock: tg.ctx.Clock, Log: tg.ctx.Log,
		Controllers: func() []ids.Address { return []ids.Address{"partitioned", "healthy"} },
		Query: func(ctx context.Context, address ids.Address) (Response, error) {
			tg.queries.Add(1)
			if address == "partitioned" || tg.partitioned.Load() {
				clock.Wait(ctx, tg.ctx.Clock, 190*time.Millisecond)
				return Response{}, errors.New("no quorum")
			}
			clock.Wait(ctx, tg.ctx.Clock, 80*time.Millisecond)
			return Response{Version: ids.Version(tg.newestVersion.Load())}, nil
		},
		Applied: tg.applied, AppliedVersion: func() ids.Version { return ids.Version(tg.appliedVersion.Load()) },
		Fetch: func(ctx context.Context, _ ids.Address) {
			if clock.Wait(ctx, tg.ctx.Clock, 100*time.Millisecond); !tg.partitioned.Load() {
				tg.appliedVersion.Store(tg.newestVersion.Load())
			}
		},
		MaxWait: testMaxWait,
	})
	return tg
}

// run starts the gate, applies a first version after a delay, and returns how long
// after that the gate opened.
func (t *testGate) run(appliedAfter time.Duration, version int64) time.Duration {
	go func() { t.gate.Run(t.ctx); t.runEnded.Store(true) }()
	t.ctx.Wait(appliedAfter)
	t.appliedVersion.Store(version)
	close(t.applied)
	start := t.ctx.Now()
	<-t.gate.Ready()
	return t.ctx.Now().Since(start)
}

// TestGate_staleVersionIsNotServed has the router first apply a version that is older
// than the read index: the gate must stay closed until the newest version is applied.
func TestGate_staleVersionIsNotServed(t *testing.T) {
	for _, appliedAfter := range []time.Duration{0, 200 * time.Millisecond, 3 * time.Second} {
		t.Run(appliedAfter.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tg := newTestGate(t)
				tg.newestVersion.Store(9)
				if took := tg.run(appliedAfter, 5); took > testMaxWait || tg.gate.State() != Confirmed || tg.appliedVersion.Load() != 9 {
					t.Errorf("%s with version %d after %v", tg.gate.State(), tg.appliedVersion.Load(), took)
				}
			})
		})
	}
}

// TestGate_firstStartIsNotDelayed starts a router before any configuration exists, so
// that the read index is 0. Once the first version is applied, the gate must open at
// the next check.
func TestGate_firstStartIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGate(t)
		if took := tg.run(time.Second, 1); took > testMaxWait/checksPerMaxWait || tg.gate.State() != Confirmed {
			t.Errorf("%s after %v", tg.gate.State(), took)
		}
		if queries := tg.queries.Load(); queries > 4 {
			t.Errorf("%d queries, want at most 4", queries)
		}
		if tg.ctx.Wait(time.Second); tg.runEnded.Load() {
			t.Error("Run returned before its context ended: a supervisor would restart it repeatedly")
		}
	})
}

// TestGate_partitionedRegionServesUnconfirmed partitions the whole region. The gate must
// open within MaxWait and show that it is unconfirmed, query ever less often, and be
// confirmed once the partition heals.
func TestGate_partitionedRegionServesUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGate(t)
		tg.partitioned.Store(true)
		tg.newestVersion.Store(6)
		if took := tg.run(100*time.Millisecond, 5); took > testMaxWait || tg.gate.State() != Unconfirmed {
			t.Errorf("%s after %v", tg.gate.State(), took)
		}
		tg.ctx.Wait(60 * time.Second)
		if queries := tg.queries.Load(); queries > 40 {
			t.Errorf("%d queries within a minute, want at most 40", queries)
		}
		tg.partitioned.Store(false)
		tg.ctx.Wait(4 * maxIntervalFactor * testMaxWait)
		if tg.gate.State() != Confirmed || tg.appliedVersion.Load() != 6 {
			t.Errorf("after the partition healed: %s with version %d", tg.gate.State(), tg.appliedVersion.Load())
		}
		synctest.Wait()
		if lines := strings.Count(tg.log.String(), "\n"); lines != 2 {
			t.Errorf("%d log lines, want 2:\n%s", lines, tg.log)
		}
	})
}
