// Package voter runs a controller's voter: the acceptor of the replicated
// registers and the lessor of the leases, on one write-ahead log.
//
// It opens the log, carries requests to the other voters, surveys what they hold
// and repairs what lags, and brings a controller that is not a voter into the
// voter set when a place is free.
//
// # Invariants
//
// A disk votes only under the identity that the voter set names for it. A blank or
// corrupted disk has forgotten its votes: it gets a new incarnation and must join
// as a new voter.
//
// A voter's place may be taken only once the voter has left, or has been gone or
// silent for a while though a majority answers here. A controller that is
// partitioned or stalled itself takes nobody for lost.
package voter
