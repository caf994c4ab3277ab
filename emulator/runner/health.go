package runner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"onyxwell/data/forward"
)

// health waits for a place as a request does, and tells how the runner is, or
// something else.
func (runner *Runner) health(request *http.Request) ([]byte, error) {
	limited, release := runner.options.Scope.WithLimit(timeLeft(request))
	defer release()
	if !runner.slots.take(limited, 0) {
		return own(http.StatusServiceUnavailable, map[string]string{"Onyxwell-Not-Run": "1"}, ""), nil
	}
	defer runner.slots.give()
	running, waiting, _ := runner.slots.load()
	runner.lock.Lock()
	runner.asked++
	drawn := runner.settings.Mix.draw(runner.settings.Seed, runner.settings.ID, fmt.Sprint("health ", runner.asked))
	life, well := runner.life, !runner.fallen
	runner.lock.Unlock()
	heads := map[string]string{
		forward.RunnerHeader: life.ID,
		forward.LoadHeader:   fmt.Sprintf("%d,%d,%d", running, waiting, runner.settings.Capacity),
	}
	if left := runner.coldLeft(); left > 0 {
		heads[forward.ColdHeader] = strconv.FormatInt(left.Milliseconds(), 10)
	}
	if drawn.met[LyingHealth] {
		runner.count([]string{LyingHealth})
		lies := []func(){
			func() { well = !well },
			func() { heads[forward.RunnerHeader] = runner.settings.ID + ".other" },
			func() { heads[forward.ColdHeader] = "250" },
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

func (runner *Runner) report(*http.Request) ([]byte, error) {
	running, waiting, handled := runner.slots.load()
	body, err := json.Marshal(report{
		Phase: runner.settings.Phase, Models: []model{{Name: "m", Version: max(1, runner.settings.Version), Adapters: []string{}}},
		Queued: waiting, Active: running, CacheUsed: runner.cache.used(), CacheTotal: runner.settings.CacheTokens, Handled: handled,
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
