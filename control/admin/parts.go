package admin

import (
	"context"
	"encoding/json"
	"net/http"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/control/duty"
)

// partsPath is the path of the calls for parts of duties.
const partsPath = "/parts"

// ServeParts registers the handler that requests the hand-over of a part of the duties
// to another controller.
func ServeParts(calls *httpcall.Mux, handOver func(ctx context.Context, part duty.Part) error) {
	httpcall.HandleLimited(calls, http.MethodPost, partsPath, maxOrderBytes, func(ctx context.Context, req HandOverRequest) (EmptyResponse, error) {
		return EmptyResponse{}, handOver(ctx, req.Part)
	})
}

// HandOverRequest is a POST /parts request, which asks to reassign a part of the duties
// to another controller.
type HandOverRequest struct {
	Part duty.Part `json:"part"`
}

// Decode reads the part from the body.
func (h *HandOverRequest) Decode(incoming httpcall.Incoming) error {
	if err := json.Unmarshal(incoming.Body, h); err != nil {
		return errkind.Errorf(errkind.BadRequest, "body: must be a JSON object")
	}
	if h.Part == "" {
		return errkind.Errorf(errkind.BadRequest, "part: must not be empty")
	}
	return nil
}
