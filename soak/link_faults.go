package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"onyxwell/control/controller"
	"onyxwell/emulator/links"
)

// withLinkFaults puts faults on the links of machines for a while. Faults that
// another call puts on the same machine meanwhile replace them.
func (c *cluster) withLinkFaults(ctx context.Context, length time.Duration, name string, faults map[*machine]links.Faults) {
	for target, f := range faults {
		c.logEvent("%s: %s %+v for %v", name, target.Name(), f, length)
		target.setLinkFaults(f)
	}
	c.wait(ctx, length)
	for target := range faults {
		target.setLinkFaults(links.Faults{})
		c.logEvent("%s: %s healed", name, target.Name())
	}
}

func (c *cluster) partitionDaemon(ctx context.Context, random *rand.Rand) {
	target := pick(random, c.machines)
	controllers := addresses(c.machinesByRole(controller.Role))
	peers := pick(random, [][]string{{"*"}, controllers, controllers[:1], controllers[len(controllers)-1:]})
	faults := pick(random, []links.Faults{{BlockFrom: peers}, {BlockTo: peers}, {BlockFrom: peers, BlockTo: peers}})
	c.withLinkFaults(ctx, randomDuration(random, 500*time.Millisecond, 8*time.Second), "cut", map[*machine]links.Faults{target: faults})
}

func (c *cluster) splitControllers(ctx context.Context, random *rand.Rand) {
	controllers := c.machinesByRole(controller.Role)
	split := 1 + random.IntN(max(1, len(controllers)-1))
	left, right := controllers[:split], controllers[split:]
	faults := map[*machine]links.Faults{}
	for _, m := range left {
		faults[m] = links.Faults{BlockFrom: addresses(right), BlockTo: addresses(right)}
	}
	for _, m := range right {
		faults[m] = links.Faults{BlockFrom: addresses(left), BlockTo: addresses(left)}
	}
	c.withLinkFaults(ctx, randomDuration(random, time.Second, 6*time.Second), "halves", faults)
}

func (c *cluster) delayDaemon(ctx context.Context, random *rand.Rand) {
	faults := links.Faults{DelayMS: 20 + random.IntN(200)}
	length := randomDuration(random, time.Second, 6*time.Second)
	target := pick(random, c.machines)
	c.withLinkFaults(ctx, length, "late", map[*machine]links.Faults{target: faults})
}

func (c *cluster) dropResponses(ctx context.Context, random *rand.Rand) {
	faults := links.Faults{ResponseLoss: 0.3 + 0.6*random.Float64()}
	length := randomDuration(random, time.Second, 8*time.Second)
	target := pick(random, c.machinesByRole(controller.Role))
	c.withLinkFaults(ctx, length, "lost", map[*machine]links.Faults{target: faults})
}

func (c *cluster) dropDatagrams(ctx context.Context, random *rand.Rand) {
	faults := map[*machine]links.Faults{}
	for _, m := range c.machines {
		faults[m] = links.Faults{DatagramLoss: 0.4}
	}
	c.withLinkFaults(ctx, randomDuration(random, time.Second, 6*time.Second), "datagrams", faults)
}

func addresses(machines []*machine) []string {
	var ips []string
	for _, m := range machines {
		ips = append(ips, m.IP)
	}
	return ips
}
