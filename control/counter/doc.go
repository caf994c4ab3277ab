// Package counter implements replicated counters that stay available for reads and
// writes during a network partition. Applications add amounts under IDs. An add is
// idempotent: an ID counts once in its counter, however often and to whichever
// controllers it is sent. A controller acknowledges an add once one disk more than may
// be lost at a time has synced it or, while fewer disks can be reached, once all
// reachable ones have.
//
// There is no quorum: the state is a grow-only set of records (a CRDT) that is merged by
// union. Each disk has an origin, a random number, under which it assigns consecutive
// sequence numbers to the adds that it is the first to accept. Every controller replicates
// the records of all origins, so a version vector, which has the number of records held of
// each origin, identifies the records that a controller lacks. The accepting controller
// sends a record to all others immediately. Anti-entropy through other controllers
// delivers it where two controllers can't reach each other.
//
// The main types are:
//
//   - State, the replicated state, which does no I/O and reads no clock;
//   - journal, which makes records durable, with one sync for all that a commit groups;
//   - peer, what is known about another controller; replicator.go exchanges records with
//     it;
//   - Service, which combines them and provides Add, Total, the catch-up of a starting
//     controller and the hand-over of a leaving one.
package counter
