package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// freezeDurations are how long routers are frozen, in turn.
var freezeDurations = []clock.Span{50 * clock.Millisecond, clock.Second, 300 * clock.Millisecond, 3 * clock.Second}

// freezeLoop stops one router after another in the middle and wakes it.
func (e *experiment) freezeLoop(ctx scope.Scope) {
	for turn := 0; ctx.Wait(e.options.FreezeInterval); turn++ {
		e.settling.Lock()
		e.instancesMu.Lock()
		chosen := e.instances[turn%len(e.instances)].process
		e.instancesMu.Unlock()
		if chosen.command.Process.Signal(syscall.SIGSTOP) == nil {
			ctx.Wait(freezeDurations[turn%len(freezeDurations)])
			_ = chosen.command.Process.Signal(syscall.SIGCONT)
			e.freezeCount.Add(1)
		}
		e.settling.Unlock()
	}
}

// hangupLoop sends one router after another a SIGHUP with a changed boot file.
func (e *experiment) hangupLoop(ctx scope.Scope) {
	for turn := 1; ctx.Wait(e.options.HangupInterval); turn++ {
		e.instancesMu.Lock()
		chosen := e.instances[turn%len(e.instances)].process
		e.instancesMu.Unlock()
		if chosen.writeSettings(turn) == nil {
			_ = chosen.command.Process.Signal(syscall.SIGHUP)
		}
	}
}

// settingsTemplate is a boot file; it is so long until the router looks at the file
// without a signal that just SIGHUP has it read.
const settingsTemplate = `node_name = "router-%d"
ip = "127.0.0.1"
zone = "zone"
region = "region"
port_range = [7720,7735]
seed_nodes = ["127.0.0.1:7721"]
[limits]
memory_mb = 256
open_files = 4096
[bounds]
retry_window_s = 10
grace_s = 8
apply_within_ms = 1e9
[cloud_api]
address = "127.0.0.1:8169"
rate_per_s = 42.0
`

func (p *process) settingsPath() string { return filepath.Join(p.dir, "boot.toml") }

// writeSettings writes the process' boot file, whole or not at all.
func (p *process) writeSettings(turn int) error {
	fresh := p.settingsPath() + ".new"
	if err := os.WriteFile(fresh, fmt.Appendf(nil, settingsTemplate, turn), 0o600); err != nil {
		return err
	}
	return os.Rename(fresh, p.settingsPath())
}
