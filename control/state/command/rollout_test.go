package command

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"onyxwell/base/errkind"
	"onyxwell/base/ids"
	"onyxwell/control/rollout"
	"onyxwell/control/state/register"
)

// keyCount returns how many keys a controller's disk holds.
func (n *node) keyCount() int { return len(n.acceptor.Fetch(register.FetchRequest{}).Slots) }

// TestReadRollout_leavesNoTrace guards against reads that fill the disks for good: each
// read of a service that does not exist acquired a key on a majority of the voters.
func TestReadRollout_leavesNoTrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, time.Millisecond)
		before := map[ids.Address]int{}
		for address, n := range c.nodes {
			before[address] = n.keyCount()
		}
		for number := range 50 {
			for address, n := range c.nodes {
				record, err := n.dispatcher.ReadRollout(c.ctx, ids.Service(fmt.Sprintf("none-%d", number)))
				if err != nil || record.Order != 0 {
					t.Fatalf("%s: record %+v, error %v, want no rollout", address, record, err)
				}
			}
		}
		for address, n := range c.nodes {
			if got := n.keyCount(); got != before[address] {
				t.Errorf("the disk of %s holds %d keys after the reads, %d before", address, got, before[address])
			}
		}
	})
}

// TestReadRollout_findsAcknowledgedOrders orders a rollout that one of the voters does not
// hear of. All of them must read it, and a controller without a majority must not answer
// that there is none.
func TestReadRollout_findsAcknowledgedOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, time.Millisecond)
		order := rollout.Order{Service: "readers", Target: `"v2"`, TermMS: 10_000}
		c.setPartitioned("c", true)
		if err := c.nodes["a"].dispatcher.OrderRollout(c.ctx, order); err != nil {
			t.Fatal(err)
		}
		if record, err := c.nodes["c"].dispatcher.ReadRollout(c.ctx, order.Service); errkind.KindOf(err) != errkind.NoQuorum {
			t.Errorf("read without a majority: record %+v, error %v, want no quorum", record, err)
		}
		c.setPartitioned("c", false)
		c.ctx.Wait(time.Second)
		for _, address := range []ids.Address{"c", "b", "a"} {
			record, err := c.nodes[address].dispatcher.ReadRollout(c.ctx, order.Service)
			if err != nil || record.Order != 1 || record.Target != order.Target {
				t.Errorf("read at %s: record %+v, error %v, want the order", address, record, err)
			}
		}
	})
}
