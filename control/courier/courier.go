package courier

import (
	"net/http"
	"strconv"

	"onyxwell/base/call"
	"onyxwell/base/failure"
	"onyxwell/base/ids"
	"onyxwell/base/reply"
	"onyxwell/base/scope"
)

// Courier sends messages to other daemons.
type Courier struct {
	// Gate marks what is sent and counts what can't be read of the answers.
	Gate *Gate
	// Tally counts what is sent, by message; it may be left out.
	Tally   *Tally
	client  *http.Client
	traffic *call.Traffic
}

// New makes a courier: how long a connection may take to come up, and how long
// a silent one is kept, is in the dialing.
func New(dialing call.Dialing) *Courier { return Over(machine{}, dialing) }

// Network makes the clients that messages go through.
type Network interface {
	Client(pooling call.Pooling) *http.Client
}

type machine struct{}

func (machine) Client(pooling call.Pooling) *http.Client { return call.Client(pooling) }

// Over makes a courier whose messages go over a network that isn't the
// machine's own.
func Over(network Network, dialing call.Dialing) *Courier {
	return &Courier{traffic: dialing.Count, client: network.Client(call.Pooling{Dialing: dialing, Idle: 10 * dialing.Silence, PerHost: 4})}
}

type asked struct {
	name string
	body []byte
}

// Outgoing makes the call.
func (a asked) Outgoing() call.Outgoing {
	return call.Outgoing{Method: "POST", Path: "/" + a.name, Body: a.body,
		Header: http.Header{"Content-Type": {"avro/binary"}}}
}

type told struct{ body []byte }

// Hear reads the answer or the failure that the other daemon told.
func (t *told) Hear(heard call.Heard) error {
	if heard.Status == http.StatusOK {
		t.body = heard.Body
		return nil
	}
	number, _ := strconv.Atoi(heard.Header.Get(reply.KindHeader))
	kind := failure.Kind(number)
	if kind == failure.None {
		kind = failure.Internal
	}
	return failure.Of(kind, "told by another daemon")
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
	answer, err := call.Ask[told](ctx, messenger.client, address, asked{name: name, body: body})
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
func (p *packet[Asked]) Read(incoming call.Incoming) error {
	message, err := Unpack[Asked](incoming.Body)
	p.message = message
	return err
}

type packed[Told any] struct{ message Told }

// Reply packs the answer.
func (p packed[Told]) Reply() reply.Reply {
	body, err := Pack(p.message)
	if err != nil {
		return reply.Of(failure.Internal, err.Error())
	}
	return reply.Raw(http.StatusOK, "avro/binary", body)
}

// Handle serves a message of that name.
func Handle[Asked, Told any](table *call.Table, name string, serve func(scope.Scope, Asked) (Told, error)) {
	call.Handle(table, "POST", "/"+name, func(ctx scope.Scope, question packet[Asked]) (packed[Told], error) {
		answer, err := serve(ctx, question.message)
		return packed[Told]{message: answer}, err
	})
}
