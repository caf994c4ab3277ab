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

// Courier sends messages to other daemons.
type Courier struct {
	// Gate marks what is sent and counts what can't be read of the answers.
	Gate *Gate
	// Tally counts what is sent, by message; it may be left out.
	Tally   *Tally
	client  *http.Client
	traffic *httpcall.Traffic
}

// New makes a courier: how long a connection may take to come up, and how long
// a silent one is kept, is in the dialing.
func New(dialing httpcall.Dialing) *Courier { return Over(machine{}, dialing) }

// Network makes the clients that messages go through.
type Network interface {
	Client(pooling httpcall.Pooling) *http.Client
}

type machine struct{}

func (machine) Client(pooling httpcall.Pooling) *http.Client { return httpcall.Client(pooling) }

// Over makes a courier whose messages go over a network that isn't the
// machine's own.
func Over(network Network, dialing httpcall.Dialing) *Courier {
	return &Courier{traffic: dialing.Count, client: network.Client(httpcall.Pooling{Dialing: dialing, Idle: 10 * dialing.Silence, PerHost: 4})}
}

type asked struct {
	name string
	body []byte
}

// Outgoing makes the call.
func (a asked) Outgoing() httpcall.Outgoing {
	return httpcall.Outgoing{Method: "POST", Path: "/" + a.name, Body: a.body,
		Header: http.Header{"Content-Type": {"avro/binary"}}}
}

type told struct{ body []byte }

// Hear reads the answer or the failure that the other daemon told.
func (t *told) Hear(heard httpcall.Heard) error {
	if heard.Status == http.StatusOK {
		t.body = heard.Body
		return nil
	}
	number, _ := strconv.Atoi(heard.Header.Get(response.KindHeader))
	kind := errkind.Kind(number)
	if kind == errkind.None {
		kind = errkind.Internal
	}
	return errkind.Of(kind, "told by another daemon")
}

// Send asks another daemon and waits for its answer.
func Send[Told, Asked any](ctx scope.Scope, messenger *Courier, address ids.Address, name string, question Asked) (Told, error) {
	var nothing Told
	body, err := Enclose(messenger.Gate, question)
	if err != nil {
		return nothing, err
	}
	if messenger.traffic != nil {
		messenger.traffic.Messages.Add(1)
	}
	answer, err := httpcall.Ask[told](ctx, messenger.client, address, asked{name: name, body: body})
	if err != nil {
		return nothing, err
	}
	messenger.Tally.Add(name, len(body), len(answer.body))
	told, err := Unpack[Told](answer.body)
	if err != nil {
		messenger.Gate.Refused(ctx, string(address), err)
	}
	return told, err
}

type packet[Asked any] struct{ message Asked }

// Read unpacks the question.
func (p *packet[Asked]) Read(incoming httpcall.Incoming) error {
	message, err := Unpack[Asked](incoming.Body)
	p.message = message
	return err
}

type packed[Told any] struct{ message Told }

// Reply packs the answer.
func (p packed[Told]) Reply() response.Reply {
	body, err := Pack(p.message)
	if err != nil {
		return response.Of(errkind.Internal, err.Error())
	}
	return response.Raw(http.StatusOK, "avro/binary", body)
}

// Handle serves a message of that name.
func Handle[Asked, Told any](table *httpcall.Table, name string, serve func(scope.Scope, Asked) (Told, error)) {
	httpcall.Handle(table, "POST", "/"+name, func(ctx scope.Scope, question packet[Asked]) (packed[Told], error) {
		answer, err := serve(ctx, question.message)
		return packed[Told]{message: answer}, err
	})
}
