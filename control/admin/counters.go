package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"math/big"
	"net/http"
	"strconv"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/response"
)

const (
	// counterPath is that of a counter, whose name follows.
	counterPath = "/tallies/"
	// maxCounterName is the longest name of a counter in bytes.
	maxCounterName = 256
	// maxExactFloat bounds the whole numbers that a float64 holds exactly.
	maxExactFloat = 1 << 53
)

// Counters are the applications' counters.
type Counters interface {
	// Add adds an amount under an ID, which counts once.
	Add(ctx context.Context, counter string, id string, amount int64) error
	// Total returns the sum of a counter, 0 for a new one.
	Total(counter string) (*big.Int, error)
}

// ServeCounters registers the applications' calls.
func ServeCounters(calls *httpcall.Mux, counters Counters) {
	httpcall.Handle(calls, http.MethodPost, counterPath, func(ctx context.Context, req CounterAddRequest) (EmptyResponse, error) {
		return EmptyResponse{}, counters.Add(ctx, req.Counter, req.ID, req.Amount)
	})
	httpcall.Handle(calls, http.MethodGet, counterPath, func(_ context.Context, req CounterReadRequest) (CounterResponse, error) {
		total, err := counters.Total(req.Counter)
		return CounterResponse{Total: total}, err
	})
}

// CounterAddRequest is POST /tallies/COUNTER: an amount, and the ID under which it counts
// once.
type CounterAddRequest struct {
	Counter string
	ID      string
	Amount  int64
}

// Decode takes the counter off the path, and ID and amount off the body.
func (c *CounterAddRequest) Decode(incoming httpcall.Incoming) error {
	var err error
	if c.Counter, err = counterName(incoming); err != nil {
		return err
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(incoming.Body, &fields); err != nil || fields == nil {
		return errkind.Errorf(errkind.BadRequest, "body: it is no JSON object")
	}
	var id *string
	if err := json.Unmarshal(fields["id"], &id); err != nil || id == nil || *id == "" {
		return errkind.Errorf(errkind.BadRequest, "id: a text that is not empty is wanted")
	}
	c.ID = *id
	c.Amount, err = parseInteger(fields["changed_by"])
	return err
}

func counterName(incoming httpcall.Incoming) (string, error) {
	if name := incoming.Tail; name != "" && len(name) <= maxCounterName {
		return name, nil
	}
	return "", errkind.Errorf(errkind.BadRequest, "path: a name of 1 to %d bytes is wanted", maxCounterName)
}

// parseInteger reads an amount, in whatever way JSON writes a whole number.
func parseInteger(text json.RawMessage) (int64, error) {
	text = bytes.TrimSpace(text)
	if amount, err := strconv.ParseInt(string(text), 10, 64); err == nil {
		return amount, nil
	}
	var number json.Number
	if err := json.Unmarshal(text, &number); err == nil && len(text) > 0 && text[0] != '"' {
		amount, err := number.Float64()
		if err == nil && amount == math.Trunc(amount) && math.Abs(amount) <= maxExactFloat {
			return int64(amount), nil
		}
	}
	return 0, errkind.Errorf(errkind.BadRequest, "changed_by: a whole number of 64 bits is wanted")
}

// CounterReadRequest is GET /tallies/COUNTER.
type CounterReadRequest struct{ Counter string }

// Decode takes the counter off the path.
func (c *CounterReadRequest) Decode(incoming httpcall.Incoming) error {
	var err error
	c.Counter, err = counterName(incoming)
	return err
}

// CounterResponse is the sum of a counter.
type CounterResponse struct {
	Total *big.Int `json:"total"`
}

// Response gives the sum as JSON.
func (c CounterResponse) Response() response.Response { return response.JSON(http.StatusOK, c) }
