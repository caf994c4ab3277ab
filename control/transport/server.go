package transport

import (
	"context"
	"net/http"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/response"
)

// incomingRequest is a request on the server's side. The guard has taken the
// deployment's tag off its body before.
type incomingRequest[Request any] struct{ message Request }

// Decode decodes the request.
func (i *incomingRequest[Request]) Decode(incoming httpcall.Incoming) error {
	message, err := Unmarshal[Request](incoming.Body)
	i.message = message
	return err
}

// outgoingResponse is a response on the server's side.
type outgoingResponse[Response any] struct{ message Response }

// Response encodes the response.
func (o outgoingResponse[Response]) Response() response.Response {
	body, err := Marshal(o.message)
	if err != nil {
		return response.FromKind(errkind.Internal, err.Error())
	}
	return response.Raw(http.StatusOK, contentType, body)
}

// Handle registers the handler of the message of that name. The kind of an error
// that serve returns reaches the sender; its text does not.
func Handle[Request, Response any](mux *httpcall.Mux, name string, serve func(context.Context, Request) (Response, error)) {
	httpcall.Handle(mux, http.MethodPost, "/"+name, func(ctx context.Context, req incomingRequest[Request]) (outgoingResponse[Response], error) {
		resp, err := serve(ctx, req.message)
		return outgoingResponse[Response]{message: resp}, err
	})
}
