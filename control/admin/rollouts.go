package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/response"
	"onyxwell/control/rollout"
)

const (
	// rolloutsPath is where rollouts are ordered; a service's follows after a slash.
	rolloutsPath = "/rollouts"
	rolloutPath  = rolloutsPath + "/"
	// minRolloutSeconds and maxRolloutSeconds bound the term of a rollout.
	minRolloutSeconds = 1
	maxRolloutSeconds = 7 * 24 * 3600
	// maxVersionLength is the longest name of a version in bytes.
	maxVersionLength = 256
)

// Rollouts takes orders of rollouts and tells what became of them.
type Rollouts interface {
	// OrderRollout stores an order.
	OrderRollout(ctx context.Context, order rollout.Order) error
	// ReadRollout returns the newest record of a service's rollout, the zero Record for none.
	ReadRollout(ctx context.Context, service ids.Service) (rollout.Record, error)
}

// ServeRollouts registers the calls for rollouts.
func ServeRollouts(calls *httpcall.Mux, rollouts Rollouts) {
	httpcall.Handle(calls, http.MethodPost, rolloutsPath, func(ctx context.Context, req RolloutRequest) (EmptyResponse, error) {
		return EmptyResponse{}, rollouts.OrderRollout(ctx, req.Order)
	})
	httpcall.Handle(calls, http.MethodGet, rolloutPath, func(ctx context.Context, req RolloutReadRequest) (RolloutResponse, error) {
		record, err := rollouts.ReadRollout(ctx, req.Service)
		if err == nil && record.Order == 0 {
			err = errkind.Errorf(errkind.UnknownService, "no rollout of %q was ordered", req.Service)
		}
		return RolloutResponse{Condition: rollout.Condition(record.Condition).String(), Target: json.RawMessage(record.Target)}, err
	})
}

// RolloutRequest is POST /rollouts: a service, the version that its traffic is to move to,
// and the seconds that it may take.
type RolloutRequest struct{ Order rollout.Order }

// Decode reads the body. Its errors name the field.
func (r *RolloutRequest) Decode(incoming httpcall.Incoming) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(incoming.Body, &fields); err != nil || fields == nil {
		return errkind.Errorf(errkind.InvalidOrder, "body: it is no JSON object")
	}
	var service string
	if err := json.Unmarshal(fields["service"], &service); err != nil || service == "" {
		return errkind.Errorf(errkind.InvalidOrder, "service: a name is wanted")
	}
	target, err := compactVersion(fields["target_version"])
	if err != nil {
		return err
	}
	var seconds *float64
	if err := json.Unmarshal(fields["over_s"], &seconds); err != nil || seconds == nil {
		return errkind.Errorf(errkind.InvalidOrder, "over_s: a number of seconds is wanted")
	}
	if *seconds < minRolloutSeconds || *seconds > maxRolloutSeconds {
		return errkind.Errorf(errkind.InvalidOrder, "over_s: from %d to %d seconds are wanted", minRolloutSeconds, maxRolloutSeconds)
	}
	r.Order = rollout.Order{Service: ids.Service(service), Target: target, TermMS: int64(*seconds * 1000)}
	return nil
}

// compactVersion returns a version as the list of runners writes it: as compact JSON.
func compactVersion(text json.RawMessage) (string, error) {
	invalid := errkind.Errorf(errkind.InvalidOrder, "target_version: a version of 1 to %d bytes is wanted", maxVersionLength)
	var value any
	if err := json.Unmarshal(text, &value); err != nil {
		return "", invalid
	}
	switch value.(type) {
	case string, float64:
	default:
		return "", invalid
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, text); err != nil || value == "" || compact.Len() > maxVersionLength {
		return "", invalid
	}
	return compact.String(), nil
}

// RolloutReadRequest is GET /rollouts/SERVICE.
type RolloutReadRequest struct{ Service ids.Service }

// Decode takes the service off the path.
func (r *RolloutReadRequest) Decode(incoming httpcall.Incoming) error {
	r.Service = ids.Service(incoming.Tail)
	return nil
}

// RolloutResponse tells what became of a rollout.
type RolloutResponse struct {
	Condition string          `json:"condition"`
	Target    json.RawMessage `json:"target_version"`
}

// Response gives it as JSON.
func (r RolloutResponse) Response() response.Response { return response.JSON(http.StatusOK, r) }
