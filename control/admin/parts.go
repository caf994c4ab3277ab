package admin

import (
	"context"
	"encoding/json"
	"net/http"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/control/duty"
)

// partsPath is that of the parts of duties.
const partsPath = "/parts"

// ServeParts registers the hand-over of a part of the platform's duties.
func ServeParts(calls *httpcall.Mux, handOver func(ctx context.Context, part duty.Part) error) {
	httpcall.Handle(calls, http.MethodPost, partsPath, func(ctx context.Context, req HandOverRequest) (EmptyResponse, error) {
		return EmptyResponse{}, handOver(ctx, req.Part)
	})
}

// HandOverRequest is POST /parts: the part that another controller is to hold.
type HandOverRequest struct {
	Part duty.Part `json:"part"`
}

// Decode takes the part off the body.
func (h *HandOverRequest) Decode(incoming httpcall.Incoming) error {
	if err := json.Unmarshal(incoming.Body, h); err != nil {
		return errkind.Errorf(errkind.BadRequest, "body: it is no JSON object")
	}
	if h.Part == "" {
		return errkind.Errorf(errkind.BadRequest, "part: a name is wanted")
	}
	return nil
}
