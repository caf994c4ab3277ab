package runner

import (
	"fmt"
	"strings"
	"time"
)

// Settings are how a runner behaves.
type Settings struct {
	// Services are those that an incarnation may have; the first has the address at
	// the start, a takeover draws one.
	Services []string
	// ID is the id of the first incarnation; later ones add a count to it.
	ID string
	// Capacity is how many requests run at once, Queue how many more may wait.
	// MaxConns is how many connections are accepted; 0 is no bound.
	Capacity int
	Queue    int
	MaxConns int
	// ServiceTime is how long a request runs before its response or first event.
	// PrefillPerToken is added to it for each token of the prompt that isn't cached.
	// EventInterval is the pause between two events.
	ServiceTime     time.Duration
	EventInterval   time.Duration
	PrefillPerToken time.Duration
	// CacheTokens is the size of the prefix cache.
	CacheTokens float64
	// Warmup is how long an incarnation is warming up from its start. WarmupRate is
	// how many requests per second it bears until then; above twice that it fails.
	// 0 is no bound.
	Warmup     time.Duration
	WarmupRate float64
	// IdleTimeout is how long an idle connection is kept open. MaxSilence is how
	// long a runner at most holds a connection on which it sends nothing.
	IdleTimeout time.Duration
	MaxSilence  time.Duration
	// WeightsVersion is the version of the weights, 0 for none. Phase is what
	// /report answers.
	WeightsVersion int
	Phase          string
	// HealthPath is the path of health checks.
	HealthPath string
	// Seed is what the faults are drawn from, at the rates of Faults.
	Seed   uint64
	Faults FaultRates
}

// Defaults returns the settings of a runner without faults.
func Defaults(service string, id string) Settings {
	return Settings{
		Services: []string{service}, ID: id, Capacity: 32, Queue: 32, MaxConns: 256,
		ServiceTime: time.Millisecond, EventInterval: time.Millisecond, CacheTokens: 100000,
		IdleTimeout: 10 * time.Second, MaxSilence: 5 * time.Second, Phase: "both", HealthPath: "/health", Seed: 1,
	}
}

// Check returns an error that names all invalid settings by their flags, in one
// line.
func (s Settings) Check() error {
	var problems []string
	need := func(ok bool, format string, values ...any) {
		if !ok {
			problems = append(problems, fmt.Sprintf(format, values...))
		}
	}
	need(len(s.Services) > 0 && s.Services[0] != "", "a service is wanted")
	need(s.ID != "" && !strings.ContainsAny(s.ID, " \r\n"), "id %q: a word is wanted", s.ID)
	need(s.Capacity >= 1, "capacity %d: 1 or more is wanted", s.Capacity)
	need(s.Queue >= 0, "queue %d: 0 or more is wanted", s.Queue)
	need(s.MaxConns >= 0, "connections %d: 0 or more is wanted", s.MaxConns)
	need(s.CacheTokens >= 0, "cache-tokens %g: 0 or more is wanted", s.CacheTokens)
	need(s.WarmupRate >= 0, "cold-per-s %g: 0 or more is wanted", s.WarmupRate)
	for name, duration := range map[string]time.Duration{
		"work": s.ServiceTime, "gap": s.EventInterval, "read-token": s.PrefillPerToken, "cold": s.Warmup,
	} {
		need(duration >= 0, "%s %v: 0 or more is wanted", name, duration)
	}
	need(s.IdleTimeout >= time.Millisecond, "keep-idle %v: 1ms or more is wanted", s.IdleTimeout)
	need(s.MaxSilence >= time.Millisecond, "silent %v: 1ms or more is wanted", s.MaxSilence)
	need(strings.HasPrefix(s.HealthPath, "/"), "health %q: a path is wanted", s.HealthPath)
	if err := s.Faults.Check(); err != nil {
		problems = append(problems, err.Error())
	}
	if len(problems) > 0 {
		return fmt.Errorf("runner: %s", strings.Join(problems, "; "))
	}
	return nil
}
