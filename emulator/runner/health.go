package runner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"onyxwell/data/upstream"
)

// serveHealth waits for a place as a request does, and tells how the runner is, or
// something else.
func (r *Runner) serveHealth(request *http.Request) ([]byte, error) {
	limited, release := r.options.Scope.WithTimeout(timeLeft(request))
	defer release()
	if !r.slots.acquire(limited, 0) {
		return ownResponse(http.StatusServiceUnavailable, map[string]string{"Onyxwell-Not-Run": "1"}, ""), nil
	}
	defer r.slots.release()
	running, waiting, _ := r.slots.load()
	r.mu.Lock()
	r.healthProbes++
	drawn := r.settings.Faults.draw(r.settings.Seed, r.settings.ID, fmt.Sprint("health ", r.healthProbes))
	life, well := r.incarnation, !r.failed
	r.mu.Unlock()
	heads := map[string]string{
		upstream.RunnerIDHeader: life.ID,
		upstream.LoadHeader:     fmt.Sprintf("%d,%d,%d", running, waiting, r.settings.Capacity),
	}
	if left := r.warmupLeft(); left > 0 {
		heads[upstream.WarmupHeader] = strconv.FormatInt(left.Milliseconds(), 10)
	}
	if drawn.faults[LyingHealth] {
		r.countFaults([]string{LyingHealth})
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
	return ownResponse(status, heads, ""), nil
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

func (r *Runner) serveReport(*http.Request) ([]byte, error) {
	running, waiting, handled := r.slots.load()
	body, err := json.Marshal(report{
		Phase: r.settings.Phase, Models: []model{{Name: "m", Version: max(1, r.settings.WeightsVersion), Adapters: []string{}}},
		Queued: waiting, Active: running, CacheUsed: r.cache.used(), CacheTotal: r.settings.CacheTokens, Handled: handled,
	})
	return ownResponse(http.StatusOK, map[string]string{"Content-Type": "application/json"}, string(body)), err
}

// ownResponse makes an answer of the runner itself, that is no request's.
func ownResponse(status int, heads map[string]string, body string) []byte {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for name, value := range heads {
		text += name + ": " + value + "\r\n"
	}
	return []byte(text + "\r\n" + body)
}
