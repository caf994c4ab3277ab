// Package balancer decides what becomes of a request: which runner it goes to,
// whether it waits, or how it is answered. It is asked; the executor obeys.
package balancer

import (
	"strconv"
	"strings"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/config"
	"onyxwell/control/planning/lengthstats"
	"onyxwell/data/retrybudget"
	"onyxwell/data/runnerstats"
	"onyxwell/data/slowstart"
	"onyxwell/data/snapshot"
)

// Options are what a gate is made from.
type Options struct {
	Scope  scope.Scope
	Frame  *snapshot.Frame
	Board  *runnerstats.Board
	Budget *retrybudget.Budget
	Warmth *slowstart.Warmth
	Region ids.Region
	// Sharers gives among how many routers the rate of a cold runner in a zone is
	// shared; zero where it is not this router's to serve.
	Sharers func(zone ids.Zone) int
	// Routers is how many routers there could be.
	Routers func() int
	// Lost tells whether a zone seems to be lost: its runners are used only where no
	// others are. It may be left out.
	Lost func(zone ids.Zone) bool
	// Chance gives numbers from 0 to below 1; tests replace it.
	Chance func() float64
}

// Gate makes decisions.
type Gate struct {
	options Options
	firsts  firsts
}

// NewGate makes a gate.
func NewGate(options Options) *Gate { return &Gate{options: options} }

// Asking is what is known of a request when it is let in.
type Asking struct {
	Route *config.Route
	// Parts are the ids of the prompt's parts, the own part last; Tokens counts
	// all of them, Shared those before the own part. Bytes is the body's length.
	Parts  []string
	Tokens float64
	Shared float64
	Bytes  int
	// Length is the prompt's tokens as the request tells them; 0 is unknown.
	Length float64
	Since  clock.Instant
	Limit  clock.Instant
}

// Prompt reads the parts of a prompt: ids and tokens, in order.
func (a *Asking) Prompt(text string) {
	if text == "" {
		return
	}
	own := 0.0
	for _, piece := range strings.Split(text, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(piece), ":")
		own, _ = strconv.ParseFloat(count, 64)
		a.Parts = append(a.Parts, id)
		a.Tokens += own
	}
	a.Shared = a.Tokens - own
}

// Counted reads the tokens of the prompt and the most out, as the request tells
// them. What is absent or broken leaves the length unknown; it refuses nothing.
func (a *Asking) Counted(text string) {
	prompt, _, _ := strings.Cut(text, ",")
	if tokens, err := strconv.ParseFloat(strings.TrimSpace(prompt), 64); err == nil && tokens > 0 && tokens < 1e9 {
		a.Length = tokens
	}
}

// Kind is what the request is told apart by before it runs.
func (d *Decision) Kind() lengthstats.Key {
	return lengthstats.Key{
		Service: d.service, Route: d.asking.Route.Name, Bucket: lengthstats.BucketOf(d.asking.Length),
	}
}

// Begin opens the decision on a request.
func (g *Gate) Begin(asking Asking) *Decision {
	decision := &Decision{gate: g, asking: asking, tried: map[ids.RunnerID]bool{}}
	decision.service = g.service(asking.Route)
	decision.rareFirst = g.rareFirst(asking)
	g.options.Board.Asked(decision.service, homesKey(asking.Route))
	g.options.Budget.Request(decision.service, g.options.Scope.Now())
	return decision
}

// service picks one of the route's services by their weights.
func (g *Gate) service(route *config.Route) ids.Service {
	parts := route.WeightedServices()
	total := 0.0
	for _, part := range parts {
		total += part.Weight
	}
	aim := g.options.Chance() * total
	for _, part := range parts {
		if aim -= part.Weight; aim < 0 {
			return part.Service
		}
	}
	return parts[len(parts)-1].Service
}

func homesKey(route *config.Route) string {
	key := ""
	for _, home := range route.HomeRegions {
		key += string(home) + ","
	}
	return key
}

func (g *Gate) lost(zone ids.Zone) bool {
	return g.options.Lost != nil && g.options.Lost(zone)
}

func (g *Gate) bound(service *config.Service, zone ids.Zone) slowstart.Bound {
	if service == nil {
		return slowstart.Bound{}
	}
	return slowstart.Bound{PerS: service.WarmupRatePerSecond, Sharers: g.options.Sharers(zone)}
}
