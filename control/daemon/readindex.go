package daemon

import (
	"context"

	"onyxwell/base/ids"
	"onyxwell/control/membership"
	"onyxwell/control/state/readindex"
	"onyxwell/control/transport"
)

// readIndexWaitFactor is how many forward time-outs a starting daemon waits
// for a read index before it goes on without.
const readIndexWaitFactor = 2

// NewReadIndexGate makes a gate that holds a starting daemon back until the
// configuration version it applied is no older than one that a majority of the
// voters confirmed after the start. applied is closed once there is a version,
// and serial gives it.
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

// controllersOrSeeds gives the controllersOrSeeds that are alive, or the seeds where none is
// known.
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
