package replay

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"sync"

	"onyxwell/base/clock"
	"onyxwell/base/ids"
	"onyxwell/base/scope"
)

// Options are how a day is played.
type Options struct {
	// Routers are the front addresses that requests go to, drawn by chance.
	Routers []ids.Address
	// Speed plays the day faster (above 1) or slower.
	Speed float64
	// Limit is how long one request may take.
	Limit  clock.Span
	Client *http.Client
}

// Outcome sums up the requests of one route.
type Outcome struct {
	Route    string         `json:"route"`
	Count    int            `json:"count"`
	Statuses map[string]int `json:"statuses"`
	// Broken are answers that did not come, or not whole.
	Broken int     `json:"broken"`
	P50MS  float64 `json:"first_p50_ms"`
	P99MS  float64 `json:"first_p99_ms"`
	firsts []float64
}

// Play sends every record at its time and gives the outcomes in the order of
// their routes.
func Play(ctx scope.Scope, records []Record, options Options) []Outcome {
	var lock sync.Mutex
	var running sync.WaitGroup
	found := map[string]*Outcome{}
	begin := ctx.Now()
	for _, record := range records {
		due := begin.Add(clock.Span(float64(record.At()) / options.Speed))
		if pause := due.Since(ctx.Now()); pause > 0 && !ctx.Wait(pause) {
			break
		}
		running.Add(1)
		go func() {
			defer running.Done()
			status, first, err := send(ctx, record, options)
			lock.Lock()
			defer lock.Unlock()
			count(found, record.group(), status, first, err)
		}()
	}
	running.Wait()
	return sorted(found)
}

func count(found map[string]*Outcome, route string, status int, first clock.Span, err error) {
	outcome := found[route]
	if outcome == nil {
		outcome = &Outcome{Route: route, Statuses: map[string]int{}}
		found[route] = outcome
	}
	outcome.Count++
	if status > 0 {
		outcome.Statuses[fmt.Sprint(status)]++
		outcome.firsts = append(outcome.firsts, float64(first)/float64(clock.Millisecond))
	}
	if err != nil {
		outcome.Broken++
	}
}

// send sends one request; the status is 0 where no head came.
func send(ctx scope.Scope, record Record, options Options) (int, clock.Span, error) {
	short, release := ctx.WithTimeout(options.Limit)
	defer release()
	router := options.Routers[rand.IntN(len(options.Routers))]
	request, err := http.NewRequestWithContext(short, record.Method, "http://"+string(router)+"/", strings.NewReader(record.Body))
	if err != nil {
		return 0, 0, err
	}
	request.URL = &url.URL{Scheme: "http", Host: string(router), Opaque: record.Path}
	request.Host = record.Host
	request.GetBody = nil
	for name, value := range record.Headers {
		request.Header.Set(name, value)
	}
	// A played request is another one than the recorded: it has its own id.
	request.Header.Set("Onyxwell-Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
	request.Header.Set("Onyxwell-Time-Left-Ms", fmt.Sprint(options.Limit.Milliseconds()))
	begin := ctx.Now()
	response, err := options.Client.Do(request)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	first := ctx.Now().Since(begin)
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, first, err
}

func sorted(found map[string]*Outcome) []Outcome {
	var outcomes []Outcome
	for _, outcome := range found {
		sort.Float64s(outcome.firsts)
		outcome.P50MS, outcome.P99MS = quantile(outcome.firsts, 0.5), quantile(outcome.firsts, 0.99)
		outcomes = append(outcomes, *outcome)
	}
	sort.Slice(outcomes, func(left, right int) bool { return outcomes[left].Route < outcomes[right].Route })
	return outcomes
}

func quantile(values []float64, part float64) float64 {
	if len(values) == 0 {
		return 0
	}
	return values[min(len(values)-1, int(part*float64(len(values))))]
}

// NewClient makes the client that a day is played with.
func NewClient(perRouter int) *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: perRouter, DisableCompression: true, IdleConnTimeout: 10 * clock.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
