package soak

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
)

// checkInvariantMetrics wants every daemon's figures, and no violation among them.
func (c *cluster) checkInvariantMetrics(ctx scope.Scope) {
	for _, machine := range c.machines {
		text := ""
		if !c.waitUntilEmpty(ctx, clock.Second, func() string {
			status := 0
			if status, text = httpGet(machine.Address(metricsPort), "/metrics"); status != http.StatusOK {
				return fmt.Sprint(status)
			}
			return ""
		}) {
			c.addFinding("SIGHT", "%s does not tell its figures", machine.Name())
		}
		for _, line := range strings.Split(text, "\n") {
			if strings.HasPrefix(line, "onyxwell_invariant_violations_total") && !strings.HasSuffix(line, " 0") {
				c.addFinding("INVARIANT", "%s: %s", machine.Name(), line)
			}
		}
	}
}

func (c *cluster) checkMemory(report *Report) {
	for _, machine := range c.machines {
		_, peakMB := machine.stats()
		report.PeakMemoryMB = max(report.PeakMemoryMB, peakMB)
		if peakMB > memoryLimitMB {
			c.addFinding("MEMORY", "%s had %.0f MB of %d", machine.Name(), peakMB, memoryLimitMB)
		}
	}
}

// checkLogs looks for violations and panics of processes that are gone.
func (c *cluster) checkLogs() {
	for _, machine := range c.machines {
		file, err := os.Open(machine.log.Name())
		if err != nil {
			c.addFinding("SOAK", "the log of %s: %v", machine.Name(), err)
			continue
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			text := lines.Text()
			if strings.Contains(text, `"part":"invariant"`) || strings.HasPrefix(text, "panic:") || strings.HasPrefix(text, "fatal error:") {
				c.addFinding("INVARIANT", "%s: %.400s", machine.Name(), text)
			}
		}
		_ = file.Close()
	}
}
