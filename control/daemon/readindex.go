package daemon

import (
	"onyxwell/base/ids"
	"onyxwell/base/scope"
	"onyxwell/control/membership"
	"onyxwell/control/state/readindex"
	"onyxwell/control/transport"
)

// NewReadIndexGate makes what holds a daemon back until a majority confirmed, after
// its start, the version that it acts on.
func (d *Daemon) NewReadIndexGate(first <-chan struct{}, serial func() ids.Serial) *readindex.Gate {
	return readindex.NewGate(readindex.Options{
		Applied: first, AppliedSerial: serial, Fetch: d.Gossiper.Exchange, Controllers: d.controllers,
		Query: func(ctx scope.Scope, address ids.Address) (readindex.Response, error) {
			return transport.Send[readindex.Response](ctx, d.Transport, address, readindex.MessageName, readindex.Request{From: d.Address})
		},
		MaxWait: 2 * TimingOf(d.Scope.Settings).ForwardTimeout,
	})
}

// controllers gives the controllers that answer; the seeds where none is known.
func (d *Daemon) controllers() []ids.Address {
	var found []ids.Address
	for _, member := range d.Membership.Members() {
		if member.ServesControl && member.State == membership.Alive {
			found = append(found, member.Address)
		}
	}
	if len(found) == 0 {
		return d.Scope.Settings.SeedAddresses()
	}
	return found
}
