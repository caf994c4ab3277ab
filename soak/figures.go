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

// examineFigures wants every daemon's figures, and no violation among them.
func (e *estate) examineFigures(ctx scope.Scope) {
	for _, machine := range e.machines {
		text := ""
		if !e.until(ctx, clock.Second, func() string {
			status := 0
			if status, text = get(machine.Address(metricsPort), "/metrics"); status != http.StatusOK {
				return fmt.Sprint(status)
			}
			return ""
		}) {
			e.find("SIGHT", "%s does not tell its figures", machine.Name())
		}
		for _, line := range strings.Split(text, "\n") {
			if strings.HasPrefix(line, "onyxwell_invariant_violations_total") && !strings.HasSuffix(line, " 0") {
				e.find("INVARIANT", "%s: %s", machine.Name(), line)
			}
		}
	}
}

func (e *estate) examineMemory(report *Report) {
	for _, machine := range e.machines {
		_, peakMB := machine.told()
		report.PeakMB = max(report.PeakMB, peakMB)
		if peakMB > memoryMB {
			e.find("MEMORY", "%s had %.0f MB of %d", machine.Name(), peakMB, memoryMB)
		}
	}
}

// examineLogs looks for violations and panics of processes that are gone.
func (e *estate) examineLogs() {
	for _, machine := range e.machines {
		file, err := os.Open(machine.log.Name())
		if err != nil {
			e.find("SOAK", "the log of %s: %v", machine.Name(), err)
			continue
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			text := lines.Text()
			if strings.Contains(text, `"part":"invariant"`) || strings.HasPrefix(text, "panic:") || strings.HasPrefix(text, "fatal error:") {
				e.find("INVARIANT", "%s: %.400s", machine.Name(), text)
			}
		}
		_ = file.Close()
	}
}
