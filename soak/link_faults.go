package soak

import (
	"math/rand/v2"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/controller"
	"onyxwell/emulator/links"
)

// withLinkFaults breaks links for a while.
func (c *cluster) withLinkFaults(ctx scope.Scope, length clock.Span, what string, orders map[*machine]links.Faults) {
	for machine, order := range orders {
		c.logEvent("%s: %s %+v for %v", what, machine.Name(), order, length)
		machine.setLinkFaults(order)
	}
	ctx.Wait(length)
	for machine := range orders {
		machine.setLinkFaults(links.Faults{})
		c.logEvent("%s: %s whole again", what, machine.Name())
	}
}

func partitionDaemon(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	target := pick(drawn, e.machines)
	var all []string
	for _, other := range e.machinesByRole(controller.Role) {
		all = append(all, other.IP)
	}
	peers := pick(drawn, [][]string{{"*"}, all, all[:1], all[len(all)-1:]})
	order := pick(drawn, []links.Faults{{BlockFrom: peers}, {BlockTo: peers}, {BlockFrom: peers, BlockTo: peers}})
	e.withLinkFaults(ctx, randomDuration(drawn, 500*clock.Millisecond, 8*clock.Second), "cut", map[*machine]links.Faults{target: order})
}

func splitControllers(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	all := e.machinesByRole(controller.Role)
	at := 1 + drawn.IntN(max(1, len(all)-1))
	orders := map[*machine]links.Faults{}
	for index, controller := range all {
		var others []string
		for place, other := range all {
			if (place < at) != (index < at) {
				others = append(others, other.IP)
			}
		}
		orders[controller] = links.Faults{BlockFrom: others, BlockTo: others}
	}
	e.withLinkFaults(ctx, randomDuration(drawn, clock.Second, 6*clock.Second), "halves", orders)
}

func delayDaemon(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	order := links.Faults{DelayMS: 20 + drawn.IntN(200)}
	e.withLinkFaults(ctx, randomDuration(drawn, clock.Second, 6*clock.Second), "late", map[*machine]links.Faults{pick(drawn, e.machines): order})
}

func dropResponses(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	order := links.Faults{ResponseLoss: 0.3 + 0.6*drawn.Float64()}
	e.withLinkFaults(ctx, randomDuration(drawn, clock.Second, 8*clock.Second), "lost", map[*machine]links.Faults{pick(drawn, e.machinesByRole(controller.Role)): order})
}

func dropDatagrams(e *cluster, ctx scope.Scope, drawn *rand.Rand) {
	orders := map[*machine]links.Faults{}
	for _, machine := range e.machines {
		orders[machine] = links.Faults{DatagramLoss: 0.4}
	}
	e.withLinkFaults(ctx, randomDuration(drawn, clock.Second, 6*clock.Second), "datagrams", orders)
}
