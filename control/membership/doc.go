// Package membership maintains the list of a deployment's daemons with a protocol
// based on SWIM. Each daemon probes the others in a randomized rotation, first
// directly and then through other members. A member that answers neither probe is
// suspected, and removed unless it refutes the suspicion in time. Reports about
// members are piggybacked on probes and included in the exchanges of package gossip.
//
// A daemon tracks all members of its own zone but only the backbone of other zones:
// the daemons that serve the control API and those that relay.
//
// Invariants: only a member itself raises its incarnation, and of two reports with
// the same incarnation the one with the higher State wins. Tables that receive the
// same reports therefore converge, whatever the order.
package membership
