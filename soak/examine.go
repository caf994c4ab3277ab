package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/controller"
	"onyxwell/data/router"
	"onyxwell/deployment"
	"onyxwell/emulator/client"
	"onyxwell/emulator/links"
)

const (
	frontPort = deployment.FrontPort
	// examPrefix begins the ids of the examination's own requests.
	examPrefix = "exam-"
)

// examine looks, once all trouble is over, whether everything that was promised
// is there.
func (e *estate) examine(ctx scope.Scope, report *Report) {
	for _, machine := range e.machines {
		machine.cut(links.Faults{})
		machine.signal(continueSignal)
	}
	e.platform.Down.Store(false)
	begin := ctx.Now()
	asker := newOperator(e, rand.New(rand.NewPCG(e.options.Seed, 4)))
	if !e.until(ctx, recovery, e.ready) {
		e.find("RECOVER", "%v after all trouble: %s", recovery, e.ready())
	}
	report.Back = ctx.Now().Since(begin)
	e.examineChange(ctx, asker, report)
	e.examineEvacuation(ctx, asker)
	e.examineReads(ctx, asker)
	e.examineFigures(ctx)
	e.examineMemory(report)
	e.ledger.judge(e.find)
	for _, verdict := range e.history.Check() {
		e.find(verdict.Rule, "attempt %s: %s\n      %s", verdict.Attempt, verdict.Reason, strings.Join(verdict.History, "\n      "))
	}
	e.examineLost()
	e.examineLogs()
}

// examineLost looks for requests that ran and whose clients got no whole answer
// though nothing but planned work went on.
func (e *estate) examineLost() {
	e.unanswered.Range(func(attempt any, how any) bool {
		if _, ran := e.ran.Load(attempt); ran {
			e.find("LOST", "attempt %s ran and got no whole answer, %s", attempt, how)
		}
		return true
	})
}

// until waits until nothing is left to say, at most for the span.
func (e *estate) until(ctx scope.Scope, limit clock.Span, left func() string) bool {
	for begin := ctx.Now(); left() != ""; {
		if ctx.Now().Since(begin) > limit || !ctx.Wait(20*clock.Millisecond) {
			return false
		}
	}
	return true
}

// ready says which router is not ready; "" is none.
func (e *estate) ready() string {
	for _, machine := range e.role(router.Role) {
		if status, _ := get(machine.Address(deployment.ReadyPort), "/ready"); status != http.StatusOK {
			return fmt.Sprintf("%s is not ready: %d", machine.Name(), status)
		}
	}
	return ""
}

// get asks for a page, in a second at most.
func get(address string, path string) (int, string) {
	asking := http.Client{Timeout: clock.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := asking.Get("http://" + address + path)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// examineChange wants a change acknowledged and in force at every router.
func (e *estate) examineChange(ctx scope.Scope, asker *operator, report *Report) {
	if !e.until(ctx, recovery, func() string {
		if _, found := asker.read(ctx); !found {
			return "no read is answered"
		}
		asker.last = nil
		asker.change(ctx)
		if asker.last == nil {
			return "no change is acknowledged"
		}
		return ""
	}) {
		e.find("ACKS", "no change is acknowledged %v after all trouble", recovery)
		return
	}
	acked := ctx.Now()
	path := markPrefix + asker.last.id + "/exam"
	var all sync.WaitGroup
	for _, machine := range e.role(router.Role) {
		all.Add(1)
		go func() {
			defer all.Done()
			last := ""
			if !e.until(ctx, applyWithin, func() string {
				last = e.probe(machine, path)
				return last
			}) {
				e.find("CONFIG", "%s does not serve the newest route %v after its acknowledgement: %s", machine.Name(), applyWithin, last)
			}
		}()
	}
	all.Wait()
	report.Force = ctx.Now().Since(acked)
}

// probe asks a router for a path; "" is a success.
func (e *estate) probe(machine *machine, path string) string {
	request, err := http.NewRequest(http.MethodGet, "http://"+machine.Address(frontPort)+path, nil)
	if err != nil {
		return err.Error()
	}
	request.Host = client.Host
	request.Header.Set("Onyxwell-Attempt-Id", fmt.Sprintf("%s%x", examPrefix, rand.Uint64()))
	asking := http.Client{Timeout: clock.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := asking.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return response.Status
	}
	return ""
}

// examineEvacuation wants a zone left alone once it is emptied.
func (e *estate) examineEvacuation(ctx scope.Scope, asker *operator) {
	zone := e.layout.AllZones()[0].Name
	if got := asker.call(ctx, http.MethodPost, "/empty/"+string(zone), -1, nil); got.status != http.StatusOK {
		e.find("EVAC", "an evacuation in calm gets %d", got.status)
		return
	}
	acked := ctx.Now()
	for {
		before := e.runsIn(zone)
		for _, machine := range e.role(router.Role) {
			for range 4 {
				e.probe(machine, "/"+services[0]+"/safe/exam")
			}
		}
		if e.runsIn(zone) == before {
			break
		}
		if ctx.Now().Since(acked) > evacuate || !ctx.Wait(100*clock.Millisecond) {
			e.find("EVAC", "%s still gets requests %v after its evacuation was acknowledged", zone, evacuate)
			break
		}
	}
	if got := asker.call(ctx, http.MethodDelete, "/empty/"+string(zone), -1, nil); got.status != http.StatusOK {
		e.find("EVAC", "an evacuation's end in calm gets %d", got.status)
	}
}

func (e *estate) runsIn(zone any) int64 {
	runs := int64(0)
	for _, played := range e.runners {
		if any(played.zone.Name) == zone {
			runs += played.runs.Load()
		}
	}
	return runs
}

// examineReads wants the newest configuration from every controller.
func (e *estate) examineReads(ctx scope.Scope, asker *operator) {
	for _, machine := range e.role(controller.Role) {
		begin := ctx.Now()
		if !e.until(ctx, applyWithin, func() string {
			begin = ctx.Now()
			got := asker.try(ctx, machine.Address(deployment.ControlPort), http.MethodGet, "/settings", -1, nil)
			if got.status != http.StatusOK {
				return fmt.Sprint(got.status)
			}
			asker.note(begin, ctx.Now(), got)
			return ""
		}) {
			e.find("CONFIG", "%s answers no read in calm", machine.Name())
		}
	}
}

// summarize fills the report in.
func (e *estate) summarize(report *Report) {
	report.Requests, report.Served = e.requests.Load(), e.served.Load()
	report.Acknowledged, report.Refused, report.Open, report.Longest = e.ledger.counts()
	report.Reads = len(e.ledger.reads)
	for _, machine := range e.machines {
		starts, _ := machine.told()
		report.Starts += starts
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	report.Findings = e.findings
}
