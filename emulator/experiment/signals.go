package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// frozen are how long routers are frozen, in turn.
var frozen = []clock.Span{50 * clock.Millisecond, clock.Second, 300 * clock.Millisecond, 3 * clock.Second}

// freezes stops one router after another in the middle and wakes it.
func (e *experiment) freezes(ctx scope.Scope) {
	for turn := 0; ctx.Wait(e.options.Freeze); turn++ {
		e.resting.Lock()
		e.doorLock.Lock()
		chosen := e.doors[turn%len(e.doors)].process
		e.doorLock.Unlock()
		if chosen.command.Process.Signal(syscall.SIGSTOP) == nil {
			ctx.Wait(frozen[turn%len(frozen)])
			_ = chosen.command.Process.Signal(syscall.SIGCONT)
			e.frozen.Add(1)
		}
		e.resting.Unlock()
	}
}

// hangups sends one router after another a SIGHUP with a changed boot file.
func (e *experiment) hangups(ctx scope.Scope) {
	for turn := 1; ctx.Wait(e.options.Hangup); turn++ {
		e.doorLock.Lock()
		chosen := e.doors[turn%len(e.doors)].process
		e.doorLock.Unlock()
		if chosen.boot(turn) == nil {
			_ = chosen.command.Process.Signal(syscall.SIGHUP)
		}
	}
}

// bootText is a boot file; it is so long until the router looks at the file
// without a signal that just SIGHUP has it read.
const bootText = `node_name = "router-%d"
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

func (p *process) bootFile() string { return filepath.Join(p.folder, "boot.toml") }

// boot writes the process' boot file, whole or not at all.
func (p *process) boot(turn int) error {
	fresh := p.bootFile() + ".new"
	if err := os.WriteFile(fresh, fmt.Appendf(nil, bootText, turn), 0o600); err != nil {
		return err
	}
	return os.Rename(fresh, p.bootFile())
}
