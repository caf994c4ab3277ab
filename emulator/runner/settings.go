// Package runner plays a model runner over real connections on the loopback. It
// behaves as the pages say, and misbehaves as its settings say: each trouble has
// a rate, and what befalls an attempt is drawn from the seed and the attempt's
// id, so the same attempt meets the same troubles again.
package runner

import (
	"fmt"
	"strings"

	"onyxwell/base/clock"
)

// Settings are how a runner behaves.
type Settings struct {
	// Services are those that may have the address; the first has it at the start.
	Services []string
	// ID is the id of the first life; later lives add a count to it.
	ID string
	// Capacity is how many requests run at once, Queue how many more may wait,
	// Connections how many connections are accepted; 0 is no bound.
	Capacity int
	Queue    int
	MaxConns int
	// ServiceTime is how long a request takes before its answer or first event, Gap the
	// pause between events, and PrefillPerToken what each unread token of a prompt adds.
	ServiceTime     clock.Span
	EventInterval   clock.Span
	PrefillPerToken clock.Span
	// CacheTokens is how many tokens of kept prompt parts are held.
	CacheTokens float64
	// Warmup is how long a life stays cold from its start, WarmupRate how many
	// requests a second it then bears; at twice that it falls over.
	Warmup     clock.Span
	WarmupRate float64
	// IdleTimeout is how long an idle connection is kept; Silent is the longest that
	// a runner which says nothing holds a connection.
	IdleTimeout clock.Span
	MaxSilence  clock.Span
	// WeightsVersion is that of the weights, 0 for none; Phase is what /report tells.
	WeightsVersion int
	Phase          string
	// HealthPath is the path of the health answer.
	HealthPath string
	Seed       uint64
	Faults     FaultRates
}

// Defaults are settings of a runner that keeps to the pages.
func Defaults(service string, id string) Settings {
	return Settings{
		Services: []string{service}, ID: id, Capacity: 32, Queue: 32, MaxConns: 256,
		ServiceTime: clock.Millisecond, EventInterval: clock.Millisecond, CacheTokens: 100000,
		IdleTimeout: 10 * clock.Second, MaxSilence: 5 * clock.Second, Phase: "both", HealthPath: "/health", Seed: 1,
	}
}

// Check tells in one line all that is wrong with the settings.
func (s Settings) Check() error {
	var wrong []string
	need := func(good bool, text string, values ...any) {
		if !good {
			wrong = append(wrong, fmt.Sprintf(text, values...))
		}
	}
	need(len(s.Services) > 0 && s.Services[0] != "", "a service is wanted")
	need(s.ID != "" && !strings.ContainsAny(s.ID, " \r\n"), "id %q: a word is wanted", s.ID)
	need(s.Capacity >= 1, "capacity %d: 1 or more is wanted", s.Capacity)
	need(s.Queue >= 0, "queue %d: 0 or more is wanted", s.Queue)
	need(s.MaxConns >= 0, "connections %d: 0 or more is wanted", s.MaxConns)
	need(s.CacheTokens >= 0, "cache-tokens %g: 0 or more is wanted", s.CacheTokens)
	need(s.WarmupRate >= 0, "cold-per-s %g: 0 or more is wanted", s.WarmupRate)
	for name, span := range map[string]clock.Span{
		"work": s.ServiceTime, "gap": s.EventInterval, "read-token": s.PrefillPerToken, "cold": s.Warmup,
	} {
		need(span >= 0, "%s %v: 0 or more is wanted", name, span)
	}
	need(s.IdleTimeout >= clock.Millisecond, "keep-idle %v: 1ms or more is wanted", s.IdleTimeout)
	need(s.MaxSilence >= clock.Millisecond, "silent %v: 1ms or more is wanted", s.MaxSilence)
	need(strings.HasPrefix(s.HealthPath, "/"), "health %q: a path is wanted", s.HealthPath)
	if err := s.Faults.Check(); err != nil {
		wrong = append(wrong, err.Error())
	}
	if len(wrong) > 0 {
		return fmt.Errorf("runner: %s", strings.Join(wrong, "; "))
	}
	return nil
}
