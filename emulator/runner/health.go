package runner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"onyxwell/data/upstream"
)

// health waits for a place as a request does, and tells how the runner is, or
// something else.
func (r *Runner) health(request *http.Request) ([]byte, error) {
	limited, release := r.options.Scope.WithTimeout(timeLeft(request))
	defer release()
	if !r.slots.take(limited, 0) {
		return own(http.StatusServiceUnavailable, map[string]string{"Onyxwell-Not-Run": "1"}, ""), nil
	}
	defer r.slots.give()
	running, waiting, _ := r.slots.load()
	r.mu.Lock()
	r.asked++
	drawn := r.settings.Mix.draw(r.settings.Seed, r.settings.ID, fmt.Sprint("health ", r.asked))
	life, well := r.life, !r.fallen
	r.mu.Unlock()
	heads := map[string]string{
		upstream.RunnerIDHeader: life.ID,
		upstream.LoadHeader:     fmt.Sprintf("%d,%d,%d", running, waiting, r.settings.Capacity),
	}
	if left := r.coldLeft(); left > 0 {
		heads[upstream.WarmupHeader] = strconv.FormatInt(left.Milliseconds(), 10)
	}
	if drawn.met[LyingHealth] {
		r.count([]string{LyingHealth})
		lies := []func(){
			func() { well = !well },
			func() { heads[upstream.RunnerIDHeader] = r.settings.ID + ".other" },
			func() { heads[upstream.WarmupHeader] = "250" },
		}
		lies[drawn.IntN(len(lies))]()
	}
	status := http.StatusOK
	if !well {
		status = http.StatusServiceUnavailable
	}
	return own(status, heads, ""), nil
}

type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"config_version"`
	Adapters []string `json:"adapters"`
}

type report struct {
	Phase      string  `json:"phase"`
	Models     []model `json:"models"`
	Busy       bool    `json:"busy"`
	CallCount  int     `json:"call_count"`
	Queued     int     `json:"queued"`
	Active     int     `json:"active"`
	CacheUsed  float64 `json:"cache_used"`
	CacheTotal float64 `json:"cache_total"`
	Handled    int     `json:"handled"`
}

func (r *Runner) report(*http.Request) ([]byte, error) {
	running, waiting, handled := r.slots.load()
	body, err := json.Marshal(report{
		Phase: r.settings.Phase, Models: []model{{Name: "m", Version: max(1, r.settings.Version), Adapters: []string{}}},
		Queued: waiting, Active: running, CacheUsed: r.cache.used(), CacheTotal: r.settings.CacheTokens, Handled: handled,
	})
	return own(http.StatusOK, map[string]string{"Content-Type": "application/json"}, string(body)), err
}

// own makes an answer of the runner itself, that is no request's.
func own(status int, heads map[string]string, body string) []byte {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for name, value := range heads {
		text += name + ": " + value + "\r\n"
	}
	return []byte(text + "\r\n" + body)
}
