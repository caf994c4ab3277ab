package membership

import (
	"context"
	"fmt"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/transport"
)

// Datagram is what daemons send each other to probe, with reports of members on
// it.
type Datagram struct {
	Kind int64 `avro:"Kind"`
	// Sequence is the prober's number of the probe; an ack repeats it.
	Sequence int64       `avro:"Number"`
	From     ids.Address `avro:"From"`
	// Target is whom a ping request asks to ping.
	Target  ids.Address `avro:"Target"`
	Reports []Member    `avro:"Reports"`
}

// SchemaName names the stored and sent form; it must never change.
func (Datagram) SchemaName() string { return "Datagram_23" }

// The kinds of datagrams.
const (
	kindPing int64 = iota
	kindAck
	kindPingRequest
)

// Receive handles a datagram that arrived. One that can't be decoded, or is of an
// unknown kind, is reported to the guard and dropped. ctx bounds what it starts:
// an indirect probe, which ends after the ack timeout at the latest.
func (p *Prober) Receive(ctx context.Context, sender fmt.Stringer, body []byte) {
	datagram, err := transport.Open[Datagram](p.Guard, body)
	if err != nil {
		p.Guard.Rejected(sender.String(), err)
		return
	}
	if datagram.Kind < kindPing || datagram.Kind > kindPingRequest {
		p.Guard.Rejected(sender.String(), errkind.Errorf(errkind.UnknownCall, "datagram of kind %d", datagram.Kind))
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

// probeFor pings the target of a ping request and forwards its ack.
func (p *Prober) probeFor(ctx context.Context, request Datagram) {
	sequence, acked := p.registerProbe()
	defer p.unregisterProbe(sequence)
	p.send(request.Target, Datagram{Kind: kindPing, Sequence: sequence})
	if p.awaitAck(ctx, acked, p.Config.AckTimeout) {
		p.send(request.From, Datagram{Kind: kindAck, Sequence: request.Sequence})
	}
}

// send sends a datagram with the sender's address and reports filled in.
func (p *Prober) send(to ids.Address, datagram Datagram) {
	datagram.From = p.Table.Self().Address
	datagram.Reports = p.Table.selectReports(to)
	if body, err := transport.Seal(p.Guard, datagram); err == nil {
		p.Send(to, body)
	}
}
