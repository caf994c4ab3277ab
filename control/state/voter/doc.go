// Package voter runs the voter of a controller: the acceptor of the replicated
// registers, which is backed by a write-ahead log, and the lessor of the leases.
//
// It opens the log, sends requests to the other voters, surveys their state,
// repairs voters that lag, and has a controller that is not a voter join the
// voter set when there is a vacancy.
//
// # Invariants
//
// A disk votes only under the identity that the voter set names for it. A blank
// or corrupted disk has lost its votes, so it gets a new incarnation and must
// join as a new voter.
//
// A voter may be replaced only after it has left, after it has been missing from
// the membership for some time without responding, or once a majority of the
// voters has found that it does not respond. Silence counts only while a majority
// responds: a controller that is itself partitioned or stalled considers no voter
// silent.
package voter
