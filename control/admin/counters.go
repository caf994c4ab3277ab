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
	// counterPath is the path of a counter; it is followed by the counter's name.
	counterPath = "/tallies/"
	// maxCounterName is the maximum length of a counter's name, in bytes.
	maxCounterName = 256
	// maxExactFloat is the largest n for which a float64 represents every integer from
	// -n to n exactly.
	maxExactFloat = 1 << 53
)

// Counters provides access to the counters of applications.
type Counters interface {
	// Add adds an amount to a counter. Adds with the same ID count only once.
	Add(ctx context.Context, counter string, id string, amount int64) error
	// Total returns the sum of a counter, 0 for one without adds.
	Total(counter string) (*big.Int, error)
}

// ServeCounters registers the handlers with which applications add to counters and read
// them.
func ServeCounters(calls *httpcall.Mux, counters Counters) {
	httpcall.HandleLimited(calls, http.MethodPost, counterPath, maxOrderBytes, func(ctx context.Context, req CounterAddRequest) (EmptyResponse, error) {
		return EmptyResponse{}, counters.Add(ctx, req.Counter, req.ID, req.Amount)
	})
	httpcall.Handle(calls, http.MethodGet, counterPath, func(_ context.Context, req CounterReadRequest) (CounterResponse, error) {
		total, err := counters.Total(req.Counter)
		return CounterResponse{Total: total}, err
	})
}

// CounterAddRequest is a POST /tallies/COUNTER request. It adds an amount to the counter;
// adds with the same ID count only once.
type CounterAddRequest struct {
	Counter string
	ID      string
	Amount  int64
}

// Decode reads the counter from the path, and the ID and the amount from the body.
func (c *CounterAddRequest) Decode(incoming httpcall.Incoming) error {
	var err error
	if c.Counter, err = counterName(incoming); err != nil {
		return err
	}
	fields, err := objectFields(incoming.Body, "id", "changed_by")
	if err != nil {
		return errkind.Errorf(errkind.BadRequest, "body: must be a JSON object")
	}
	var id *string
	if err := json.Unmarshal(fields["id"], &id); err != nil || id == nil || *id == "" {
		return errkind.Errorf(errkind.BadRequest, "id: must be a non-empty string")
	}
	c.ID = *id
	c.Amount, err = parseInteger(fields["changed_by"])
	return err
}

func counterName(incoming httpcall.Incoming) (string, error) {
	if name := incoming.Tail; name != "" && len(name) <= maxCounterName {
		return name, nil
	}
	return "", errkind.Errorf(errkind.BadRequest, "path: the name of the counter must have 1 to %d bytes", maxCounterName)
}

// parseInteger parses a whole number in any JSON notation, such as 1000, 1000.0 or 1e3.
// With a fraction or an exponent, its absolute value is limited to maxExactFloat.
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
	return 0, errkind.Errorf(errkind.BadRequest, "changed_by: must be an integer of 64 bits")
}

// CounterReadRequest is a GET /tallies/COUNTER request, which reads the counter's sum.
type CounterReadRequest struct{ Counter string }

// Decode reads the counter from the path.
func (c *CounterReadRequest) Decode(incoming httpcall.Incoming) error {
	var err error
	c.Counter, err = counterName(incoming)
	return err
}

// CounterResponse contains the sum of a counter.
type CounterResponse struct {
	Total *big.Int `json:"total"`
}

// Response returns the sum as JSON.
func (c CounterResponse) Response() response.Response { return response.JSON(http.StatusOK, c) }
