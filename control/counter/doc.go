// Package counter keeps counters that go on while the deployment is partitioned.
// Applications add amounts under IDs; an ID counts once in its counter, wherever
// and however often it is sent. A controller acknowledges an add once as many disks
// have synced it as may be lost at a time, and one more, or, while fewer can be
// reached, all of those that can.
//
// No majority is asked: the state is a convergent set (a CRDT), merged by union. Each
// disk has an origin, a random number, and gives the adds that it accepts first
// consecutive sequence numbers under it. Every controller holds the records of all
// origins, so how many it holds of each, a version vector, says what it lacks. Records
// travel from the disk that accepted them to all others at once, and by anti-entropy
// through third ones where two can't reach each other.
//
// The parts:
//
//   - State is the replicated value, without time, disk or network;
//   - journal makes records durable, in commits that share a sync;
//   - peer is what is known of another controller, and replicator exchanges records
//     with it;
//   - Service puts them together: Add, Total, the catch-up of a controller that
//     starts, and the hand-over of one that leaves.
package counter
