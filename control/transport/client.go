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

// contentType is that of every request and of every successful response.
const contentType = "avro/binary"

const (
	// idleTimeoutFactor is how many TCP user timeouts (Dialer.UserTimeout) an idle connection is kept.
	idleTimeoutFactor  = 10
	maxIdleConnections = 4
)

// Client sends messages to other daemons. Guard and Stats are set before its
// first use; it is safe for concurrent use then.
type Client struct {
	// Guard tags each request with the deployment and counts the responses that
	// can't be decoded. It may be nil.
	Guard *Guard
	// Stats counts the requests that were answered, by message name. It may be nil.
	Stats      *MessageStats
	httpClient *http.Client
	traffic    *httpcall.Traffic
}

// NewClient returns a client over the machine's own network. The dialer says how
// long connecting may take and when an unresponsive connection is given up.
func NewClient(dialer httpcall.Dialer) *Client {
	return NewClientOnNetwork(systemNetwork{}, dialer)
}

// Network makes the HTTP clients that messages travel through.
type Network interface {
	Client(options httpcall.ClientOptions) *http.Client
}

// systemNetwork is the machine's own network.
type systemNetwork struct{}

func (systemNetwork) Client(options httpcall.ClientOptions) *http.Client {
	return httpcall.NewClient(options)
}

// NewClientOnNetwork returns a client over another network than the machine's
// own, such as a simulated one.
func NewClientOnNetwork(network Network, dialer httpcall.Dialer) *Client {
	return &Client{
		traffic: dialer.Traffic,
		httpClient: network.Client(httpcall.ClientOptions{
			Dialer: dialer, IdleTimeout: idleTimeoutFactor * dialer.UserTimeout, MaxIdlePerHost: maxIdleConnections,
		}),
	}
}

// outgoingRequest is a request on the client's side, already encoded.
type outgoingRequest struct {
	name string
	body []byte
}

// Encode implements the request side of an HTTP call.
func (o outgoingRequest) Encode() httpcall.OutgoingRequest {
	return httpcall.OutgoingRequest{
		Method: http.MethodPost, Path: "/" + o.name, Body: o.body,
		Header: http.Header{"Content-Type": {contentType}},
	}
}

// incomingResponse is a response on the client's side, still encoded.
type incomingResponse struct{ body []byte }

// Decode keeps the body of a success; any other status becomes an error of the
// kind that the response's header names, Internal where it names none.
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
	return errkind.Errorf(kind, "error answered by another daemon")
}

// Send sends req to the daemon at an address as the message of that name, and
// waits for the response until ctx ends. An error that the other daemon answered
// keeps its errkind.Kind; a response that can't be decoded is an error with a
// RejectReason, and is counted by the client's guard.
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
