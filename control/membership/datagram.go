package membership

import (
	"context"
	"fmt"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// Datagram is a message of the probe protocol, with piggybacked reports about members.
type Datagram struct {
	Kind int64 `avro:"Kind"`
	// Sequence identifies the probe at its prober; an ack repeats it.
	Sequence int64       `avro:"Number"`
	From     ids.Address `avro:"From"`
	// Target is the member that a ping request asks the receiver to ping.
	Target  ids.Address `avro:"Target"`
	Reports []Member    `avro:"Reports"`
}

// SchemaName returns the stored and sent Avro record name; it must never change.
func (Datagram) SchemaName() string { return "Datagram_23" }

// The values of Datagram.Kind.
const (
	kindPing int64 = iota
	kindAck
	kindPingRequest
)

// Receive handles an incoming datagram. A datagram that can't be decoded or is of an
// unknown kind is reported to the guard and dropped. ctx bounds the indirect probe that
// a ping request starts, which ends after the ack timeout at the latest.
func (p *Prober) Receive(ctx context.Context, sender fmt.Stringer, body []byte) {
	datagram, err := transport.Open[Datagram](p.Guard, body)
	if err != nil {
		p.Guard.Rejected(sender.String(), err)
		return
	}
	if datagram.Kind < kindPing || datagram.Kind > kindPingRequest {
		p.Guard.Rejected(sender.String(), errkind.Errorf(errkind.UnknownCall, "unknown datagram kind %d: want 0 (ping), 1 (ack) or 2 (ping request)", datagram.Kind))
		return
	}
	p.Table.Merge(datagram.Reports)
	switch datagram.Kind {
	case kindPing:
		p.send(datagram.From, Datagram{Kind: kindAck, Sequence: datagram.Sequence})
	case kindAck:
		p.acknowledge(datagram.Sequence)
	case kindPingRequest:
		p.spawn(func() { p.probeFor(ctx, datagram) })
	}
}

// probeFor pings the target of a ping request and, if it answers, sends an ack to the
// requester.
func (p *Prober) probeFor(ctx context.Context, request Datagram) {
	sequence, acked := p.registerProbe()
	defer p.unregisterProbe(sequence)
	p.send(request.Target, Datagram{Kind: kindPing, Sequence: sequence})
	if p.awaitAck(ctx, acked, p.Config.AckTimeout) {
		p.send(request.From, Datagram{Kind: kindAck, Sequence: request.Sequence})
	}
}

// send fills in the sender's address and the reports of a datagram and sends it. A
// datagram that can't be encoded is dropped.
func (p *Prober) send(to ids.Address, datagram Datagram) {
	datagram.From = p.Table.Self().Address
	datagram.Reports = p.Table.selectReports(to)
	if body, err := transport.Seal(p.Guard, datagram); err == nil {
		p.Send(to, body)
	}
}
