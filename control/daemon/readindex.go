package daemon

import (
	"context"

	"onyxwell/base/ids"
	"onyxwell/control/membership"
	"onyxwell/control/state/readindex"
	"onyxwell/control/transport"
)

// readIndexWaitFactor is the maximum time that a starting daemon waits for a read
// index before it continues without one, as a multiple of the forward timeout.
const readIndexWaitFactor = 2

// NewReadIndexGate returns a gate that delays a starting daemon until the
// configuration version that it has applied is at least as new as one that a majority
// of the voters confirmed after the start. applied must be closed once a version is
// applied; appliedVersion returns that version.
func (d *Daemon) NewReadIndexGate(applied <-chan struct{}, appliedVersion func() ids.Version) *readindex.Gate {
	return readindex.NewGate(readindex.Options{
		Clock: d.clock, Log: d.log,
		Applied: applied, AppliedVersion: appliedVersion, Fetch: d.Gossiper.Exchange, Controllers: d.controllersOrSeeds,
		Query: func(ctx context.Context, address ids.Address) (readindex.Response, error) {
			return transport.Send[readindex.Response](ctx, d.Transport, address, readindex.ReadIndexMessage, readindex.Request{From: d.Address})
		},
		MaxWait: readIndexWaitFactor * d.timing.ForwardTimeout,
	})
}

// controllersOrSeeds returns the controllers that are alive, or the seeds if no such
// controller is known.
func (d *Daemon) controllersOrSeeds() []ids.Address {
	var addresses []ids.Address
	for _, member := range d.Membership.Members() {
		if member.ServesControl && member.State == membership.Alive {
			addresses = append(addresses, member.Address)
		}
	}
	if len(addresses) == 0 {
		return d.settings.SeedAddresses()
	}
	return addresses
}
