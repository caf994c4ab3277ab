package main

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"onyxwell/emulator/runner"
)

func runCommandLine(ctx context.Context, t *testing.T, arguments string) (int, string, string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	status := run(ctx, strings.Fields(arguments), &stdout, &stderr)
	return status, stdout.String(), stderr.String()
}

func TestRun_commandLine(t *testing.T) {
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	cases := []struct {
		arguments string
		ctx       context.Context
		status    int
		stdout    string
		stderr    string
	}{
		{"--list-troubles", t.Context(), 0, runner.ExtraLate, ""},
		{"experiment --list-troubles", t.Context(), 0, runner.Takeover, ""},
		{"--help", t.Context(), 0, "experiment", ""},
		{"experiment --help", t.Context(), 0, "--forgive", ""},
		{"experiment --requests 200 --clients 8 --trouble extra-late=0.1", t.Context(), 0, "no rule broken", ""},
		{"experiment --requests 200", ended, 3, "stopped after 0 of 200", ""},
		{"experiment --requests 0 --clients 0", t.Context(), 1, "", "requests 0: 1 to"},
		{"experiment --trouble nothing=0.1", t.Context(), 1, "", `no trouble "nothing"`},
		{"experiment --trouble nothing=0.1", t.Context(), 1, "", "--list-troubles shows all"},
		{"experiment --trouble garbage=1.5", t.Context(), 1, "", "the rate 1.5 is not from 0 to 1"},
		{"experiment --limit=-1s", t.Context(), 1, "", "limit -1s: 0s or more"},
		{"experiment --rude-kind no-host", t.Context(), 1, "", "rude is wanted as well"},
		{"experiment --freeze 1s", t.Context(), 1, "", "--processes"},
		{"experiment --hup 1s", t.Context(), 1, "", "hup 1s: 0 is wanted"},
		{"experiment --bogus", t.Context(), 1, "", "--help shows"},
		{"experiment --mix some", t.Context(), 1, "", "--mix must be one of"},
		{"run --address 127.0.0.1:0 --trouble garbage=0.5 --seed 9", ended, 0, "seed 9, troubles: garbage=0.5", ""},
		{"run --address 127.0.0.1:0", ended, 0, "troubles met: none", ""},
		{"run --address 127.0.0.1:0 --capacity 0", ended, 1, "", "capacity 0"},
		{"", t.Context(), 1, "", "expected one of"},
	}
	for _, test := range cases {
		t.Run(test.arguments, func(t *testing.T) {
			status, stdout, stderr := runCommandLine(test.ctx, t, test.arguments)
			if status != test.status || !strings.Contains(stdout, test.stdout) || !strings.Contains(stderr, test.stderr) || strings.Count(stderr, "\n") > 1 {
				t.Errorf("status %d\n%s\n%s", status, stdout, stderr)
			}
		})
	}
}
