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
	Scope       scope.Scope
	Snapshots   *snapshot.Store
	Stats       *runnerstats.Collector
	RetryBudget *retrybudget.Budget
	SlowStart   *slowstart.Tracker
	Region      ids.Region
	// SlowStartSharers gives among how many routers the rate of a cold runner in a zone is
	// shared; zero where it is not this router's to serve.
	SlowStartSharers func(zone ids.Zone) int
	// RouterCount is how many routers there could be.
	RouterCount func() int
	// ZoneLost tells whether a zone seems to be lost: its runners are used only where no
	// others are. It may be left out.
	ZoneLost func(zone ids.Zone) bool
	// Random gives numbers from 0 to below 1; tests replace it.
	Random func() float64
}

// Balancer makes decisions.
type Balancer struct {
	options  Options
	prefixes prefixTracker
}

// New makes a gate.
func New(options Options) *Balancer { return &Balancer{options: options} }

// Request is what is known of a request when it is let in.
type Request struct {
	Route *config.Route
	// PromptParts are the ids of the prompt's parts, the own part last; Tokens counts
	// all of them, Shared those before the own part. Bytes is the body's length.
	PromptParts  []string
	PartTokens   float64
	SharedTokens float64
	BodyBytes    int
	// PromptTokens is the prompt's tokens as the request tells them; 0 is unknown.
	PromptTokens float64
	ArrivedAt    clock.Instant
	Deadline     clock.Instant
}

// ParsePromptParts reads the parts of a prompt: ids and tokens, in order.
func (r *Request) ParsePromptParts(text string) {
	if text == "" {
		return
	}
	own := 0.0
	for _, piece := range strings.Split(text, ",") {
		id, count, _ := strings.Cut(strings.TrimSpace(piece), ":")
		own, _ = strconv.ParseFloat(count, 64)
		r.PromptParts = append(r.PromptParts, id)
		r.PartTokens += own
	}
	r.SharedTokens = r.PartTokens - own
}

// ParseTokenCount reads the tokens of the prompt and the most out, as the request tells
// them. What is absent or broken leaves the length unknown; it refuses nothing.
func (r *Request) ParseTokenCount(text string) {
	prompt, _, _ := strings.Cut(text, ",")
	if tokens, err := strconv.ParseFloat(strings.TrimSpace(prompt), 64); err == nil && tokens > 0 && tokens < 1e9 {
		r.PromptTokens = tokens
	}
}

// LengthKind is what the request is told apart by before it runs.
func (a *Admission) LengthKind() lengthstats.Key {
	return lengthstats.Key{
		Service: a.service, Route: a.request.Route.Name, Bucket: lengthstats.BucketOf(a.request.PromptTokens),
	}
}

// Admit opens the decision on a request.
func (b *Balancer) Admit(asking Request) *Admission {
	decision := &Admission{balancer: b, request: asking, tried: map[ids.RunnerID]bool{}}
	decision.service = b.pickService(asking.Route)
	decision.rarePrefix = b.hasRarePrefix(asking)
	b.options.Stats.AddDemand(decision.service, homesKey(asking.Route))
	b.options.RetryBudget.AddRequest(decision.service, b.options.Scope.Now())
	return decision
}

// pickService picks one of the route's services by their weights.
func (b *Balancer) pickService(route *config.Route) ids.Service {
	parts := route.WeightedServices()
	total := 0.0
	for _, part := range parts {
		total += part.Weight
	}
	aim := b.options.Random() * total
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

func (b *Balancer) zoneLost(zone ids.Zone) bool {
	return b.options.ZoneLost != nil && b.options.ZoneLost(zone)
}

func (b *Balancer) slowStartLimit(service *config.Service, zone ids.Zone) slowstart.Limit {
	if service == nil {
		return slowstart.Limit{}
	}
	return slowstart.Limit{RequestsPerSecond: service.WarmupRatePerSecond, Routers: b.options.SlowStartSharers(zone)}
}
