package soak

import (
	"bufio"
	"context"
	"os"
	"strings"
	"time"
)

const (
	// metricsWithin is how long a daemon may take to serve its metrics.
	metricsWithin = time.Second
	// maxLogLineBytes is the length of the longest log line that is read.
	maxLogLineBytes = 1 << 20
)

// checkInvariantMetrics checks that every daemon serves its metrics and counts no
// violated invariant.
func (c *cluster) checkInvariantMetrics(ctx context.Context) {
	for _, m := range c.machines {
		metrics := ""
		if err := c.eventually(ctx, metricsWithin, func() (err error) {
			metrics, err = get(ctx, m.Address(metricsPort), "/metrics")
			return err
		}); err != nil {
			c.addFinding("SIGHT", "%s does not serve its metrics: %v", m.Name(), err)
		}
		for _, line := range strings.Split(metrics, "\n") {
			if strings.HasPrefix(line, "onyxwell_invariant_violations_total") && !strings.HasSuffix(line, " 0") {
				c.addFinding("INVARIANT", "%s: %s", m.Name(), line)
			}
		}
	}
}

// checkMemory checks the peak memory of every daemon against the limit of its
// boot file.
func (c *cluster) checkMemory(report *Report) {
	for _, m := range c.machines {
		_, peakMB := m.stats()
		report.PeakMemoryMB = max(report.PeakMemoryMB, peakMB)
		if peakMB > memoryLimitMB {
			c.addFinding("MEMORY", "%s had %.0f MB of %d", m.Name(), peakMB, memoryLimitMB)
		}
	}
}

// checkLogs looks in the logs for violated invariants and panics, also those of
// processes that have ended, whose metrics are gone.
func (c *cluster) checkLogs() {
	for _, m := range c.machines {
		if err := c.checkLog(m); err != nil {
			c.addFinding("SOAK", "the log of %s: %v", m.Name(), err)
		}
	}
}

func (c *cluster) checkLog(m *machine) error {
	file, err := os.Open(m.log.Name())
	if err != nil {
		return err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		line := lines.Text()
		if strings.Contains(line, `"part":"invariant"`) || strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			c.addFinding("INVARIANT", "%s: %.400s", m.Name(), line)
		}
	}
	return lines.Err()
}
