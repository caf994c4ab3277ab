package runner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"

	"onyxwell/data/upstream"
)

const reportPath = "/report"

// ownEndpoint returns what answers a request to the runner itself, or nil for one
// that is to run.
func (r *Runner) ownEndpoint(req *inboundRequest) func(httpReq *http.Request) ([]byte, error) {
	if req.attemptID != "" || req.http.Method != http.MethodGet {
		return nil
	}
	switch req.http.URL.Path {
	case reportPath:
		return r.serveReport
	case r.settings.HealthPath:
		return r.serveHealth
	}
	return nil
}

// falseWarmupMS is the warm-up that a false health response states.
const falseWarmupMS = 250

// serveHealth answers a health check. It takes a slot like a request, so that a
// full runner rejects it.
func (r *Runner) serveHealth(httpReq *http.Request) ([]byte, error) {
	ctx, cancel := r.withTimeout(timeoutOf(httpReq))
	defer cancel()
	if !r.slots.acquire(ctx, 0) {
		return ownResponse(http.StatusServiceUnavailable, map[string]string{notRunHeader: "1"}, ""), nil
	}
	defer r.slots.release()
	r.mu.Lock()
	r.healthProbes++
	draw := r.drawFaults(fmt.Sprint("health ", r.healthProbes))
	incarnation, healthy := r.incarnation, !r.failed
	r.mu.Unlock()
	headers := map[string]string{upstream.RunnerIDHeader: incarnation.ID, upstream.LoadHeader: r.loadText()}
	if left := r.warmupLeft(); left > 0 {
		headers[upstream.WarmupHeader] = strconv.FormatInt(left.Milliseconds(), 10)
	}
	if draw.has(LyingHealth) {
		r.countFaults([]string{LyingHealth})
		switch draw.IntN(3) {
		case 0:
			healthy = !healthy
		case 1:
			headers[upstream.RunnerIDHeader] = r.settings.ID + ".other"
		case 2:
			headers[upstream.WarmupHeader] = strconv.Itoa(falseWarmupMS)
		}
	}
	status := http.StatusOK
	if !healthy {
		status = http.StatusServiceUnavailable
	}
	return ownResponse(status, headers, ""), nil
}

// report is the body of /report.
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

type model struct {
	Name     string   `json:"name"`
	Version  int      `json:"config_version"`
	Adapters []string `json:"adapters"`
}

func (r *Runner) serveReport(*http.Request) ([]byte, error) {
	running, queued, handled := r.slots.load()
	body, err := json.Marshal(report{
		Phase: r.settings.Phase, Models: []model{{Name: "m", Version: max(1, r.settings.WeightsVersion), Adapters: []string{}}},
		Queued: queued, Active: running, CacheUsed: r.cache.used(), CacheTotal: r.settings.CacheTokens, Handled: handled,
	})
	return ownResponse(http.StatusOK, map[string]string{"Content-Type": "application/json"}, string(body)), err
}

// ownResponse returns the bytes of a response that belongs to no attempt.
func ownResponse(status int, headers map[string]string, body string) []byte {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	for name, value := range headers {
		text += name + ": " + value + "\r\n"
	}
	return []byte(text + "\r\n" + body)
}
