package transport

import (
	"context"
	"net/http"
	"strconv"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/response"
)

// contentType is the Content-Type of every request and every successful response.
const contentType = "avro/binary"

const (
	// idleTimeoutFactor is the idle timeout of a connection as a multiple of the TCP
	// user timeout (Dialer.UserTimeout).
	idleTimeoutFactor = 10
	// maxIdleConnections is the maximum number of idle connections per host.
	maxIdleConnections = 4
)

// Client sends messages to other daemons. Guard and Stats must be set before the
// first use; after that it is safe for concurrent use.
type Client struct {
	// Guard adds the deployment tag to each request and counts the responses that
	// can't be decoded. It may be nil.
	Guard *Guard
	// Stats counts the calls answered with status 200 by message name. It may be nil.
	Stats      *MessageStats
	httpClient *http.Client
	traffic    *httpcall.Traffic
}

// NewClient returns a client that uses the host's network. The dialer sets the
// connect timeout and the time after which an unresponsive connection is closed.
func NewClient(dialer httpcall.Dialer) *Client {
	return NewClientOnNetwork(systemNetwork{}, dialer)
}

// Network creates the HTTP clients that send messages.
type Network interface {
	Client(options httpcall.ClientOptions) *http.Client
}

// systemNetwork is the host's network.
type systemNetwork struct{}

func (systemNetwork) Client(options httpcall.ClientOptions) *http.Client {
	return httpcall.NewClient(options)
}

// NewClientOnNetwork returns a client that uses the given network, for example a
// simulated one.
func NewClientOnNetwork(network Network, dialer httpcall.Dialer) *Client {
	return &Client{
		traffic: dialer.Traffic,
		httpClient: network.Client(httpcall.ClientOptions{
			Dialer: dialer, IdleTimeout: idleTimeoutFactor * dialer.UserTimeout, MaxIdlePerHost: maxIdleConnections,
		}),
	}
}

// outgoingRequest is an encoded request on the client side.
type outgoingRequest struct {
	name string
	body []byte
}

// Encode returns the HTTP request that carries the message.
func (o outgoingRequest) Encode() httpcall.OutgoingRequest {
	return httpcall.OutgoingRequest{
		Method: http.MethodPost, Path: "/" + o.name, Body: o.body,
		Header: http.Header{"Content-Type": {contentType}},
	}
}

// incomingResponse is a response on the client side that is not decoded yet.
type incomingResponse struct{ body []byte }

// Decode stores the body of a response with status 200. For any other status it
// returns an error of the kind given in the response header, or of kind Internal
// if the header gives none.
func (i *incomingResponse) Decode(raw httpcall.RawResponse) error {
	if raw.Status == http.StatusOK {
		i.body = raw.Body
		return nil
	}
	number, _ := strconv.Atoi(raw.Header.Get(response.KindHeader))
	kind := errkind.Kind(number)
	if kind == errkind.None {
		kind = errkind.Internal
	}
	return errkind.Errorf(kind, "the peer daemon responded with an error")
}

// Send sends req to the daemon at address as the message with the given name and
// waits for the response until ctx is done. An error returned by the other daemon
// keeps its errkind.Kind. A response that can't be decoded results in an error
// with a RejectReason and is counted by the client's guard.
func Send[Response, Request any](ctx context.Context, client *Client, address ids.Address, name string, req Request) (Response, error) {
	var zero Response
	body, err := Seal(client.Guard, req)
	if err != nil {
		return zero, err
	}
	if client.traffic != nil {
		client.traffic.Messages.Add(1)
	}
	raw, err := httpcall.Do[incomingResponse](ctx, client.httpClient, address, outgoingRequest{name: name, body: body})
	if err != nil {
		return zero, err
	}
	client.Stats.Add(name, len(body), len(raw.body))
	resp, err := Unmarshal[Response](raw.body)
	if err != nil {
		client.Guard.Rejected(string(address), err)
	}
	return resp, err
}
