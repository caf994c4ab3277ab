package soak

import (
	"math/rand/v2"

	"onyxwell/base/clock"
	"onyxwell/base/scope"
	"onyxwell/control/controller"
	"onyxwell/emulator/links"
)

// during breaks links for a while.
func (e *estate) during(ctx scope.Scope, length clock.Span, what string, orders map[*machine]links.Faults) {
	for machine, order := range orders {
		e.tell("%s: %s %+v for %v", what, machine.Name(), order, length)
		machine.cut(order)
	}
	ctx.Wait(length)
	for machine := range orders {
		machine.cut(links.Faults{})
		e.tell("%s: %s whole again", what, machine.Name())
	}
}

func cutOne(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	target := one(drawn, e.machines)
	var all []string
	for _, other := range e.role(controller.Role) {
		all = append(all, other.IP)
	}
	peers := one(drawn, [][]string{{"*"}, all, all[:1], all[len(all)-1:]})
	order := one(drawn, []links.Faults{{BlockFrom: peers}, {BlockTo: peers}, {BlockFrom: peers, BlockTo: peers}})
	e.during(ctx, span(drawn, 500*clock.Millisecond, 8*clock.Second), "cut", map[*machine]links.Faults{target: order})
}

func halves(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	all := e.role(controller.Role)
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
	e.during(ctx, span(drawn, clock.Second, 6*clock.Second), "halves", orders)
}

func lateOne(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	order := links.Faults{DelayMS: 20 + drawn.IntN(200)}
	e.during(ctx, span(drawn, clock.Second, 6*clock.Second), "late", map[*machine]links.Faults{one(drawn, e.machines): order})
}

func lostAnswers(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	order := links.Faults{ResponseLoss: 0.3 + 0.6*drawn.Float64()}
	e.during(ctx, span(drawn, clock.Second, 8*clock.Second), "lost", map[*machine]links.Faults{one(drawn, e.role(controller.Role)): order})
}

func lostDatagrams(e *estate, ctx scope.Scope, drawn *rand.Rand) {
	orders := map[*machine]links.Faults{}
	for _, machine := range e.machines {
		orders[machine] = links.Faults{DatagramLoss: 0.4}
	}
	e.during(ctx, span(drawn, clock.Second, 6*clock.Second), "datagrams", orders)
}
