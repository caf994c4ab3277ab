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
	// rolloutsPath is the path for ordering a rollout. rolloutPath is followed by the
	// name of a service, and reads its rollout.
	rolloutsPath = "/rollouts"
	rolloutPath  = rolloutsPath + "/"
	// minRolloutSeconds and maxRolloutSeconds limit the time allowed for a rollout.
	minRolloutSeconds = 1
	maxRolloutSeconds = 7 * 24 * 3600
	// maxVersionLength is the maximum length of a version as compact JSON, in bytes.
	maxVersionLength = 256
)

// Rollouts accepts orders of rollouts and reports their state.
type Rollouts interface {
	// OrderRollout stores an order for a rollout.
	OrderRollout(ctx context.Context, order rollout.Order) error
	// ReadRollout returns the newest record of a service's rollout, or the zero Record if
	// there is none.
	ReadRollout(ctx context.Context, service ids.Service) (rollout.Record, error)
}

// ServeRollouts registers the handlers for ordering rollouts and reading their state.
func ServeRollouts(calls *httpcall.Mux, rollouts Rollouts) {
	httpcall.HandleLimited(calls, http.MethodPost, rolloutsPath, maxOrderBytes, func(ctx context.Context, req RolloutRequest) (EmptyResponse, error) {
		return EmptyResponse{}, rollouts.OrderRollout(ctx, req.Order)
	})
	httpcall.Handle(calls, http.MethodGet, rolloutPath, func(ctx context.Context, req RolloutReadRequest) (RolloutResponse, error) {
		record, err := rollouts.ReadRollout(ctx, req.Service)
		if err == nil && record.Order == 0 {
			err = errkind.Errorf(errkind.UnknownService, "no rollout of service %q has been ordered", req.Service)
		}
		return RolloutResponse{Condition: rollout.Condition(record.Condition).String(), Target: json.RawMessage(record.Target)}, err
	})
}

// RolloutRequest is a POST /rollouts request. It states a service, the version to move its
// traffic to, and the time allowed for the rollout in seconds.
type RolloutRequest struct{ Order rollout.Order }

// Decode reads the order from the body. Errors name the invalid field.
func (r *RolloutRequest) Decode(incoming httpcall.Incoming) error {
	fields, err := objectFields(incoming.Body, "service", "target_version", "over_s")
	if err != nil {
		return errkind.Errorf(errkind.InvalidOrder, "body: must be a JSON object")
	}
	var service string
	if err := json.Unmarshal(fields["service"], &service); err != nil || service == "" {
		return errkind.Errorf(errkind.InvalidOrder, "service: must be a non-empty string")
	}
	target, err := compactVersion(fields["target_version"])
	if err != nil {
		return err
	}
	var seconds *float64
	if err := json.Unmarshal(fields["over_s"], &seconds); err != nil || seconds == nil {
		return errkind.Errorf(errkind.InvalidOrder, "over_s: must be a number of seconds")
	}
	if *seconds < minRolloutSeconds || *seconds > maxRolloutSeconds {
		return errkind.Errorf(errkind.InvalidOrder, "over_s: must be from %d to %d seconds", minRolloutSeconds, maxRolloutSeconds)
	}
	r.Order = rollout.Order{Service: ids.Service(service), Target: target, TermMS: int64(*seconds * 1000)}
	return nil
}

// compactVersion checks a version, a JSON string or number, and returns it as compact
// JSON, which is also the form in the list of runners. The length is checked before the
// text is decoded: a list would take many times its bytes.
func compactVersion(text json.RawMessage) (string, error) {
	invalid := errkind.Errorf(errkind.InvalidOrder, "target_version: must be a string or number of 1 to %d bytes", maxVersionLength)
	if len(text) > maxVersionLength {
		return "", invalid
	}
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

// RolloutReadRequest is a GET /rollouts/SERVICE request, which reads the state of the
// service's newest rollout.
type RolloutReadRequest struct{ Service ids.Service }

// Decode reads the service from the path.
func (r *RolloutReadRequest) Decode(incoming httpcall.Incoming) error {
	r.Service = ids.Service(incoming.Tail)
	return nil
}

// RolloutResponse contains the state and the target version of a rollout.
type RolloutResponse struct {
	Condition string          `json:"condition"`
	Target    json.RawMessage `json:"target_version"`
}

// Response returns the state and the target version as JSON.
func (r RolloutResponse) Response() response.Response { return response.JSON(http.StatusOK, r) }
