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

// told is the line that tells of a request.
type told struct {
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

func (r runCommand) play(stopped context.Context, out io.Writer) (int, error) {
	mix, err := r.mix()
	if err != nil {
		return 0, err
	}
	var lock sync.Mutex
	lines := json.NewEncoder(out)
	settings := runner.Settings{
		Services: r.Service, ID: r.ID, Capacity: r.Capacity, Queue: r.Queue, Connections: r.Connections,
		Work: r.Work, Gap: r.Gap, ReadToken: r.ReadToken, CacheTokens: r.CacheTokens,
		Cold: r.Cold, ColdPerS: r.ColdPerS, KeepIdle: r.KeepIdle, Silent: r.Silent,
		Version: r.Weights, Phase: r.Phase, Health: r.Health, Seed: r.Seed, Mix: mix,
	}
	played, err := runner.Start(runner.Options{
		Scope: scope.New(scope.Options{}), Settings: settings, Address: r.Address,
		Tell: func(run oracle.Run) {
			lock.Lock()
			defer lock.Unlock()
			_ = lines.Encode(told{
				Attempt: run.Attempt, Runner: run.Runner, Service: run.Service, Method: run.Call.Method, Target: run.Call.Target,
				Ran: !run.Refused, Seal: run.Seal, Status: run.Status, After: run.After, Troubles: run.Troubles,
			})
		},
	})
	if err != nil {
		return 0, err
	}
	defer played.Close()
	lock.Lock()
	fmt.Fprintf(out, "runner %s of %s at %s, seed %d, troubles: %s\n", r.ID, r.Service[0], played.Address(), r.Seed, shownOf(mix))
	lock.Unlock()
	<-stopped.Done()
	lock.Lock()
	defer lock.Unlock()
	fmt.Fprintf(out, "stopped; troubles met: %s\n", metOf(played.Met()))
	return 0, nil
}

func shownOf(mix runner.Mix) string {
	if text := mix.String(); text != "" {
		return text
	}
	return "none"
}

// metOf shows how often each trouble befell a request, in order.
func metOf(met map[string]int) string {
	text := ""
	for _, trouble := range runner.Troubles {
		if met[trouble.Name] > 0 {
			text += fmt.Sprintf(" %s=%d", trouble.Name, met[trouble.Name])
		}
	}
	if text == "" {
		return "none"
	}
	return text[1:]
}
