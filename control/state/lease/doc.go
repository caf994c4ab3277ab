// Package lease grants named leases, each to one holder at a time: a majority of
// the voters grants a lease for a TTL, its Holder renews it well before its end
// and stops a margin early. No wall clock is compared.
//
// A Lessor is the voter's side and a Holder the side of the daemon that wants the
// lease; neither does I/O of its own.
//
// # Invariants
//
// At most one daemon holds a lease at a time. The holder counts the TTL from
// before its request, a voter from when it grants. A voter that has just started,
// or learnt of another voter set, makes no new grant for one TTL, since it may not
// know of grants that are in force. A request under another voter set than the
// voter's own is refused, so each lease stands on a majority of one voter set, and
// every majority of the next one meets it.
//
// Messages may be late, duplicated or out of order. Each request carries its
// holder's incarnation and a sequence number: a late request gains nothing that
// was released since, and a late release revokes no later grant.
//
// A lease that expired while it was being renewed is a new one, with a new epoch.
// The epoch is the fencing token of what the holder sends on: whatever a stalled
// holder still sends is older than what its successor has sent.
//
// # Not covered
//
// A monotonic clock stands still while a whole machine is suspended, though not
// while a process is stopped. A suspended voter keeps its grants longer, which is
// safe. A suspended holder may act for what was left of its lease; its epoch is
// then the older one.
package lease
