package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/emulator/client"
)

// Report is what a run saw.
type Report struct {
	Options  Options
	Findings []Finding
	// Requests were sent by clients, Served had a whole success.
	Requests, Served int64
	// Acknowledged, Refused and Open count changes of the configuration; Longest
	// is the longest that an acknowledgement took.
	Acknowledged, Refused, Open int
	Longest                     clock.Span
	Reads                       int
	// Starts counts the processes that were started, Troubles what was played.
	Starts   int
	Troubles map[string]int
	// Back is how long after all trouble everything served again, Force how long
	// the last change took to be in force everywhere, PeakMB the most memory that
	// a daemon had.
	Back, Force clock.Span
	PeakMB      float64
}

// Run plays one run. It ends all that it started, also when the scope ends.
func Run(top scope.Scope, options Options) (Report, error) {
	if err := options.Check(); err != nil {
		return Report{}, err
	}
	ctx, end := top.WithCancel()
	e, err := newEstate(ctx, options)
	defer func() {
		end()
		if e != nil {
			e.end()
		}
	}()
	if err != nil {
		return Report{}, err
	}
	report := Report{Options: options, Troubles: map[string]int{}}
	go e.measure(ctx)
	if !e.first(ctx) {
		return report, fmt.Errorf("soak: the deployment does not serve: see the logs in %s", options.Folder)
	}
	e.busy(ctx, &report)
	e.examine(ctx, &report)
	e.summarize(&report)
	return report, nil
}

// first sends the first configuration and waits until all routers are ready.
func (e *estate) first(ctx scope.Scope) bool {
	asker := newOperator(e, rand.New(rand.NewPCG(e.options.Seed, 1)))
	body, err := json.Marshal(firstDocument())
	if err != nil {
		return false
	}
	first := &change{id: "first", method: http.MethodPut, base: 0, version: 1, body: body, valid: true, note: "first"}
	for begin := ctx.Now(); ctx.Now().Since(begin) < recovery; {
		if e.ledger.newest() == 0 {
			asker.send(ctx, first)
		}
		if e.ledger.newest() > 0 && e.ready() == "" {
			return true
		}
		if !ctx.Wait(100 * clock.Millisecond) {
			return false
		}
	}
	return false
}

// busy has clients, operators and troubles go on together until the length is over.
func (e *estate) busy(ctx scope.Scope, report *Report) {
	working, rest := ctx.WithCancel()
	var workers, troubles sync.WaitGroup
	for index := range e.options.Clients {
		workers.Add(1)
		go func() {
			defer workers.Done()
			e.clientWork(working, index)
		}()
	}
	for index := range e.options.Operators {
		own := newOperator(e, rand.New(rand.NewPCG(e.options.Seed, uint64(100+index))))
		workers.Add(1)
		go func() {
			defer workers.Done()
			own.work(working)
		}()
	}
	e.play(ctx, report, &troubles)
	troubles.Wait()
	// Clients and operators go on a little when all is over.
	ctx.Wait(clock.Second)
	rest()
	workers.Wait()
}

// play begins the troubles at their moments.
func (e *estate) play(ctx scope.Scope, report *Report, troubles *sync.WaitGroup) {
	drawn := rand.New(rand.NewPCG(e.options.Seed, 2))
	names := e.options.Kinds
	if len(names) == 0 {
		names = KindNames()
	}
	for begin := ctx.Now(); ctx.Now().Since(begin) < e.options.Length; {
		for range e.options.Overlap {
			kind, _ := kindNamed(one(drawn, names))
			own, after := rand.New(rand.NewPCG(drawn.Uint64(), 3)), span(drawn, 0, clock.Second)
			report.Troubles[kind.name]++
			troubles.Add(1)
			go func() {
				defer troubles.Done()
				if ctx.Wait(after) {
					kind.play(e, ctx, own)
				}
			}()
		}
		if !ctx.Wait(span(drawn, e.options.Every/2, e.options.Every*3/2)) {
			return
		}
	}
}

// clientWork sends one request after another.
func (e *estate) clientWork(ctx scope.Scope, index int) {
	routers := e.role("router")
	own := &client.Client{
		RouterAddress: func(router int) string { return routers[router].Address(frontPort) },
		Grace:         2 * clock.Second, Checker: &e.history,
	}
	defer own.Close()
	draw := client.Generator{
		Seed: e.options.Seed, Routers: len(routers), Services: services, Timeout: 2 * clock.Second, MalformedRate: e.options.Rude,
	}
	finish := ctx.WithoutCancel()
	for ctx.Wait(4 * clock.Millisecond) {
		asked := draw.Request(int(e.requests.Add(1)))
		begin := ctx.Now()
		got := own.Send(finish, asked)
		e.history.RecordResponse(got)
		if got.Status == http.StatusOK && got.Complete {
			e.served.Add(1)
		}
		if e.options.planned() && !got.Complete && !asked.Abandons && ctx.Now().Since(begin) < patience {
			e.unanswered.Store(asked.Record.Attempt, fmt.Sprintf("status %d at %s: %s", got.Status, routers[asked.Router].Name(), got.Note))
		}
	}
}

// Show prints the report.
func (r Report) Show(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d requests, %d served; changes: %d acknowledged, %d refused, %d unclear, longest acknowledgement %.2f s; %d reads; %d processes started; troubles %v; all served %.2f s after trouble, a change in force everywhere after %.2f s; at most %.0f MB\n",
		r.Options.Seed, r.Requests, r.Served, r.Acknowledged, r.Refused, r.Open, r.Longest.Seconds(), r.Reads,
		r.Starts, r.Troubles, r.Back.Seconds(), r.Force.Seconds(), r.PeakMB)
	for _, finding := range r.Findings {
		fmt.Fprintf(out, "  %s: %s\n", finding.Promise, finding.Why)
	}
	if len(r.Findings) > 0 {
		fmt.Fprintf(out, "  again: %s\n  logs: %s\n", r.Options.Again(), r.Options.Folder)
	}
}

// Tidy removes the folder of a run that found nothing.
func (r Report) Tidy() error {
	if len(r.Findings) > 0 {
		return nil
	}
	return os.RemoveAll(r.Options.Folder)
}
