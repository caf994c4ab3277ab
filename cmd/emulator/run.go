package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"onyxwell/base/scope"
	"onyxwell/emulator/oracle"
	"onyxwell/emulator/runner"
)

type runCommand struct {
	faultFlags
	Address         string        `help:"Where to listen." default:"127.0.0.1:8080"`
	ID              string        `name:"id" help:"The id of the runner's first incarnation." default:"i-1"`
	Services        []string      `name:"service" help:"The services that may have the address; the first has it at the start, a takeover draws one." default:"desk"`
	Capacity        int           `help:"How many requests run at once." default:"32"`
	Queue           int           `help:"How many more may wait." default:"32"`
	MaxConns        int           `name:"connections" help:"How many connections are accepted; 0 is no bound." default:"256"`
	ServiceTime     time.Duration `name:"work" help:"How long a request runs before its response or first event." default:"20ms"`
	EventInterval   time.Duration `name:"gap" help:"The pause between two events." default:"10ms"`
	PrefillPerToken time.Duration `name:"read-token" help:"What each token of a prompt adds to it that is not cached." default:"0s"`
	CacheTokens     float64       `help:"The size of the prefix cache, in tokens." default:"100000"`
	Warmup          time.Duration `name:"cold" help:"How long an incarnation is warming up from its start: four times as slow." default:"0s"`
	WarmupRate      float64       `name:"cold-per-s" help:"How many requests per second a runner bears during its warm-up; above twice that it fails. 0 is no bound." default:"0"`
	IdleTimeout     time.Duration `name:"keep-idle" help:"How long an idle connection is kept open." default:"10s"`
	MaxSilence      time.Duration `name:"silent" help:"The longest that a silent runner holds a connection." default:"5s"`
	WeightsVersion  int           `name:"weights" help:"The version of the weights; 0 is none." default:"0"`
	Phase           string        `help:"The phase in the response of /report." default:"both"`
	HealthPath      string        `name:"health" help:"The path of health checks." default:"/health"`
}

// requestLine is the line that is printed for a request.
type requestLine struct {
	Attempt     string   `json:"attempt"`
	Runner      string   `json:"runner"`
	Service     string   `json:"service"`
	Method      string   `json:"method"`
	Target      string   `json:"target"`
	Ran         bool     `json:"ran"`
	Seal        string   `json:"seal,omitempty"`
	Status      int      `json:"status"`
	LastEventID int      `json:"after,omitempty"`
	Faults      []string `json:"troubles,omitempty"`
}

func (r runCommand) run(ctx context.Context, stdout io.Writer) error {
	rates, err := r.rates()
	if err != nil {
		return err
	}
	var mu sync.Mutex // guards stdout
	printf := func(format string, values ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(stdout, format, values...)
	}
	emulated, err := runner.Start(runner.Options{
		Scope: scope.New(scope.Options{}), Address: r.Address,
		Settings: runner.Settings{
			Services: r.Services, ID: r.ID, Capacity: r.Capacity, Queue: r.Queue, MaxConns: r.MaxConns,
			ServiceTime: r.ServiceTime, EventInterval: r.EventInterval, PrefillPerToken: r.PrefillPerToken, CacheTokens: r.CacheTokens,
			Warmup: r.Warmup, WarmupRate: r.WarmupRate, IdleTimeout: r.IdleTimeout, MaxSilence: r.MaxSilence,
			WeightsVersion: r.WeightsVersion, Phase: r.Phase, HealthPath: r.HealthPath, Seed: r.Seed, Faults: rates,
		},
		OnRequest: func(run oracle.Run) {
			mu.Lock()
			defer mu.Unlock()
			_ = json.NewEncoder(stdout).Encode(requestLine{
				Attempt: run.Attempt, Runner: run.Runner, Service: run.Service, Method: run.Fingerprint.Method, Target: run.Fingerprint.Target,
				Ran: !run.Rejected, Seal: run.Seal, Status: run.Status, LastEventID: run.LastEventID, Faults: run.Faults,
			})
		},
	})
	if err != nil {
		return err
	}
	defer emulated.Close()
	printf("runner %s of %s at %s, seed %d, troubles: %s\n", r.ID, r.Services[0], emulated.Address(), r.Seed, orNone(rates.String()))
	<-ctx.Done()
	printf("stopped; troubles met: %s\n", formatCounts(emulated.FaultCounts()))
	return nil
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

// formatCounts returns how often each fault was injected, in the order of
// runner.Faults.
func formatCounts(counts map[string]int) string {
	var texts []string
	for _, fault := range runner.Faults {
		if counts[fault.Name] > 0 {
			texts = append(texts, fmt.Sprintf("%s=%d", fault.Name, counts[fault.Name]))
		}
	}
	return orNone(strings.Join(texts, " "))
}
