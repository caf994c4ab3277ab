package transport

import (
	"context"
	"net/http"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/response"
)

// incomingRequest is a request on the server side. The guard has already removed
// the deployment tag from its body.
type incomingRequest[Request any] struct{ message Request }

// Decode decodes the message in the body of the request.
func (i *incomingRequest[Request]) Decode(incoming httpcall.Incoming) error {
	message, err := Unmarshal[Request](incoming.Body)
	i.message = message
	return err
}

// outgoingResponse is a response on the server side.
type outgoingResponse[Response any] struct{ message Response }

// Response returns the HTTP response with the encoded message, or an Internal error
// if the message can't be encoded.
func (o outgoingResponse[Response]) Response() response.Response {
	body, err := Marshal(o.message)
	if err != nil {
		return response.FromKind(errkind.Internal, err.Error())
	}
	return response.Raw(http.StatusOK, contentType, body)
}

// Handle registers serve as the handler of the message with the given name. If serve
// returns an error, the sender receives its kind but not its text.
func Handle[Request, Response any](mux *httpcall.Mux, name string, serve func(context.Context, Request) (Response, error)) {
	httpcall.Handle(mux, http.MethodPost, "/"+name, func(ctx context.Context, req incomingRequest[Request]) (outgoingResponse[Response], error) {
		resp, err := serve(ctx, req.message)
		return outgoingResponse[Response]{message: resp}, err
	})
}
