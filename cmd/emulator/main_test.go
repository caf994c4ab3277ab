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
	var out, errors bytes.Buffer
	status := run(ctx, strings.Fields(arguments), &out, &errors)
	return status, out.String(), errors.String()
}

func TestRun_commandLine(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	cases := []struct {
		arguments string
		stopped   context.Context
		status    int
		out       string
		errors    string
	}{
		{"--list-troubles", context.Background(), 0, runner.ExtraLate, ""},
		{"experiment --list-troubles", context.Background(), 0, runner.Takeover, ""},
		{"--help", context.Background(), 0, "experiment", ""},
		{"experiment --help", context.Background(), 0, "--forgive", ""},
		{"experiment --requests 200 --clients 8 --trouble extra-late=0.1", context.Background(), 0, "no rule broken", ""},
		{"experiment --requests 200", ended, 3, "stopped after 0 of 200", ""},
		{"experiment --requests 0 --clients 0", context.Background(), 1, "", "requests 0: 1 to"},
		{"experiment --trouble nothing=0.1", context.Background(), 1, "", `no trouble "nothing"`},
		{"experiment --trouble nothing=0.1", context.Background(), 1, "", "--list-troubles shows all"},
		{"experiment --trouble garbage=1.5", context.Background(), 1, "", "the rate 1.5 is not from 0 to 1"},
		{"experiment --limit=-1s", context.Background(), 1, "", "limit -1s: 0s or more"},
		{"experiment --rude-kind no-host", context.Background(), 1, "", "rude is wanted as well"},
		{"experiment --freeze 1s", context.Background(), 1, "", "--processes"},
		{"experiment --hup 1s", context.Background(), 1, "", "hup 1s: 0 is wanted"},
		{"experiment --bogus", context.Background(), 1, "", "--help shows"},
		{"experiment --mix some", context.Background(), 1, "", "--mix must be one of"},
		{"run --address 127.0.0.1:0 --trouble garbage=0.5 --seed 9", ended, 0, "seed 9, troubles: garbage=0.5", ""},
		{"run --address 127.0.0.1:0", ended, 0, "troubles met: none", ""},
		{"run --address 127.0.0.1:0 --capacity 0", ended, 1, "", "capacity 0"},
		{"", context.Background(), 1, "", "expected one of"},
	}
	for _, example := range cases {
		status, out, errors := runCommandLine(example.stopped, t, example.arguments)
		if status != example.status || !strings.Contains(out, example.out) || !strings.Contains(errors, example.errors) || strings.Count(errors, "\n") > 1 {
			t.Errorf("%q: status %d\n%s\n%s", example.arguments, status, out, errors)
		}
	}
}
