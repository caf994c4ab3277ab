// Package membership keeps the list of a deployment's daemons, after SWIM: each
// probes the others in random rotation, directly and then through other
// members; one that answers neither is suspected, and removed unless it refutes
// the suspicion in time. Reports of members travel on the probes and on the
// exchanges of package gossip.
//
// A daemon tracks all members of its own zone, and of other zones the backbone
// alone: those that serve control and those that relay.
//
// Invariants: only a member itself raises its incarnation; of two reports of one
// incarnation the one with the higher State counts; so tables that hear the same
// reports, in any order, end up equal.
package membership
