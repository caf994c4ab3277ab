package transport

import (
	"net/http"
	"strconv"

	"onyxwell/base/errkind"
	"onyxwell/base/httpcall"
	"onyxwell/base/ids"
	"onyxwell/base/response"
	"onyxwell/base/scope"
)

// Client sends messages to other daemons.
type Client struct {
	// Guard marks what is sent and counts what can't be read of the answers.
	Guard *Guard
	// Stats counts what is sent, by message; it may be left out.
	Stats      *MessageStats
	httpClient *http.Client
	traffic    *httpcall.Traffic
}

// NewClient makes a courier: how long a connection may take to come up, and how long
// a silent one is kept, is in the dialing.
func NewClient(dialing httpcall.Dialer) *Client { return NewClientOnNetwork(systemNetwork{}, dialing) }

// Network makes the clients that messages go through.
type Network interface {
	Client(pooling httpcall.ClientOptions) *http.Client
}

type systemNetwork struct{}

func (systemNetwork) Client(pooling httpcall.ClientOptions) *http.Client {
	return httpcall.NewClient(pooling)
}

// NewClientOnNetwork makes a courier whose messages go over a network that isn't the
// machine's own.
func NewClientOnNetwork(network Network, dialing httpcall.Dialer) *Client {
	return &Client{traffic: dialing.Traffic, httpClient: network.Client(httpcall.ClientOptions{Dialer: dialing, IdleTimeout: 10 * dialing.UserTimeout, MaxIdlePerHost: 4})}
}

type outgoingRequest struct {
	name string
	body []byte
}

// Outgoing makes the call.
func (o outgoingRequest) Outgoing() httpcall.Outgoing {
	return httpcall.Outgoing{Method: "POST", Path: "/" + o.name, Body: o.body,
		Header: http.Header{"Content-Type": {"avro/binary"}}}
}

type incomingResponse struct{ body []byte }

// Hear reads the answer or the failure that the other daemon told.
func (i *incomingResponse) Hear(heard httpcall.RawResponse) error {
	if heard.Status == http.StatusOK {
		i.body = heard.Body
		return nil
	}
	number, _ := strconv.Atoi(heard.Header.Get(response.KindHeader))
	kind := errkind.Kind(number)
	if kind == errkind.None {
		kind = errkind.Internal
	}
	return errkind.Errorf(kind, "told by another daemon")
}

// Send asks another daemon and waits for its answer.
func Send[Told, Asked any](ctx scope.Scope, messenger *Client, address ids.Address, name string, question Asked) (Told, error) {
	var nothing Told
	body, err := Seal(messenger.Guard, question)
	if err != nil {
		return nothing, err
	}
	if messenger.traffic != nil {
		messenger.traffic.Messages.Add(1)
	}
	answer, err := httpcall.Do[incomingResponse](ctx, messenger.httpClient, address, outgoingRequest{name: name, body: body})
	if err != nil {
		return nothing, err
	}
	messenger.Stats.Add(name, len(body), len(answer.body))
	told, err := Unmarshal[Told](answer.body)
	if err != nil {
		messenger.Guard.Rejected(ctx, string(address), err)
	}
	return told, err
}

type incomingRequest[Asked any] struct{ message Asked }

// Read unpacks the question.
func (i *incomingRequest[Asked]) Read(incoming httpcall.Incoming) error {
	message, err := Unmarshal[Asked](incoming.Body)
	i.message = message
	return err
}

type outgoingResponse[Told any] struct{ message Told }

// Reply packs the answer.
func (o outgoingResponse[Told]) Reply() response.Response {
	body, err := Marshal(o.message)
	if err != nil {
		return response.FromKind(errkind.Internal, err.Error())
	}
	return response.Raw(http.StatusOK, "avro/binary", body)
}

// Handle serves a message of that name.
func Handle[Asked, Told any](table *httpcall.Mux, name string, serve func(scope.Scope, Asked) (Told, error)) {
	httpcall.Handle(table, "POST", "/"+name, func(ctx scope.Scope, question incomingRequest[Asked]) (outgoingResponse[Told], error) {
		answer, err := serve(ctx, question.message)
		return outgoingResponse[Told]{message: answer}, err
	})
}
