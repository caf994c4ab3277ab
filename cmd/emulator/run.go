package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"onyxwell/base/scope"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/runner"
)

// requestLine is the line that tells of a request.
type requestLine struct {
	Attempt  string   `json:"attempt"`
	Runner   string   `json:"runner"`
	Service  string   `json:"service"`
	Method   string   `json:"method"`
	Target   string   `json:"target"`
	Ran      bool     `json:"ran"`
	Seal     string   `json:"seal,omitempty"`
	Status   int      `json:"status"`
	After    int      `json:"after,omitempty"`
	Troubles []string `json:"troubles,omitempty"`
}

func (r runCommand) run(stopped context.Context, out io.Writer) (int, error) {
	mix, err := r.rates()
	if err != nil {
		return 0, err
	}
	var lock sync.Mutex
	lines := json.NewEncoder(out)
	settings := runner.Settings{
		Services: r.Service, ID: r.ID, Capacity: r.Capacity, Queue: r.Queue, MaxConns: r.Connections,
		ServiceTime: r.Work, EventInterval: r.Gap, PrefillPerToken: r.ReadToken, CacheTokens: r.CacheTokens,
		Warmup: r.Cold, WarmupRate: r.ColdPerS, IdleTimeout: r.KeepIdle, MaxSilence: r.Silent,
		WeightsVersion: r.Weights, Phase: r.Phase, HealthPath: r.Health, Seed: r.Seed, Faults: mix,
	}
	played, err := runner.Start(runner.Options{
		Scope: scope.New(scope.Options{}), Settings: settings, Address: r.Address,
		OnRequest: func(run oracle.Run) {
			lock.Lock()
			defer lock.Unlock()
			_ = lines.Encode(requestLine{
				Attempt: run.Attempt, Runner: run.Runner, Service: run.Service, Method: run.Fingerprint.Method, Target: run.Fingerprint.Target,
				Ran: !run.Rejected, Seal: run.Seal, Status: run.Status, After: run.LastEventID, Troubles: run.Faults,
			})
		},
	})
	if err != nil {
		return 0, err
	}
	defer played.Close()
	lock.Lock()
	fmt.Fprintf(out, "runner %s of %s at %s, seed %d, troubles: %s\n", r.ID, r.Service[0], played.Address(), r.Seed, formatRates(mix))
	lock.Unlock()
	<-stopped.Done()
	lock.Lock()
	defer lock.Unlock()
	fmt.Fprintf(out, "stopped; troubles met: %s\n", formatCounts(played.FaultCounts()))
	return 0, nil
}

func formatRates(mix runner.FaultRates) string {
	if text := mix.String(); text != "" {
		return text
	}
	return "none"
}

// formatCounts shows how often each trouble befell a request, in order.
func formatCounts(met map[string]int) string {
	text := ""
	for _, trouble := range runner.Faults {
		if met[trouble.Name] > 0 {
			text += fmt.Sprintf(" %s=%d", trouble.Name, met[trouble.Name])
		}
	}
	if text == "" {
		return "none"
	}
	return text[1:]
}
