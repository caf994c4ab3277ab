// Package lease grants named leases, each to one holder at a time. A majority of
// the voters grants a lease for a TTL; its Holder renews it well before it
// expires and stops relying on it a margin early. Wall clocks are never compared.
//
// A Lessor is the voter's side of the protocol, and a Holder the side of a daemon
// that wants a lease. Neither does I/O of its own.
//
// # Invariants
//
// At most one daemon holds a lease at a time. The holder measures the TTL from
// before its request, a voter from the time of its grant. A voter that has just
// started, or that has learned a different voter set, makes no new grants for one
// TTL, since it may not know of grants that are in force. A request under a voter
// set other than the voter's own is refused, so each lease is granted by a
// majority of a single voter set, and every majority of the next set intersects
// that one.
//
// Messages may be delayed, duplicated or reordered. Each request carries its
// holder's incarnation and a sequence number, so that a late request does not
// reacquire a lease that has been released since, and a late release does not
// revoke a later grant.
//
// A lease that expired during its renewal counts as a new lease, with a new
// epoch. The epoch is the fencing token of the messages that the holder sends:
// whatever a stalled holder still sends carries an older epoch than the messages
// of its successor.
//
// # Limitations
//
// A monotonic clock stops while a whole machine is suspended, though not while a
// process is stopped. A suspended voter keeps its grants for longer, which is
// safe. A suspended holder may act for the remainder of its lease after it
// resumes; its epoch is then the older one.
package lease
