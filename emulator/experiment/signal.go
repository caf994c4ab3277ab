package experiment

import (
	"context"
	"syscall"
	"time"

	"onyxwell/base/clock"
)

// freezeDurations are for how long routers are frozen, in turn.
var freezeDurations = []time.Duration{50 * time.Millisecond, time.Second, 300 * time.Millisecond, 3 * time.Second}

// freezeLoop freezes one router process after another, but none while a round is
// settling. Options.Check requires that all routers are processes.
func (e *experiment) freezeLoop(ctx context.Context) {
	for turn := 0; clock.Wait(ctx, e.clock, e.options.FreezeInterval); turn++ {
		e.freeze(ctx, turn)
	}
}

func (e *experiment) freeze(ctx context.Context, turn int) {
	e.settling.Lock()
	defer e.settling.Unlock()
	router, _ := e.instanceInTurn(turn)
	process := router.(*processInstance)
	if process.signal(syscall.SIGSTOP) != nil {
		return
	}
	clock.Wait(ctx, e.clock, freezeDurations[turn%len(freezeDurations)])
	_ = process.signal(syscall.SIGCONT)
	e.freezeCount.Add(1)
}

// hangupLoop changes the node settings of one router process after another, and
// sends it a SIGHUP.
func (e *experiment) hangupLoop(ctx context.Context) {
	for turn := 1; clock.Wait(ctx, e.clock, e.options.HangupInterval); turn++ {
		router, _ := e.instanceInTurn(turn)
		process := router.(*processInstance)
		if process.writeSettings(turn) == nil {
			_ = process.signal(syscall.SIGHUP)
		}
	}
}
