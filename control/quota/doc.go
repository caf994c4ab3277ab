// Package quota enforces each tenant's quota across all routers. A quota is issued as
// credit: one controller, the issuer, holds a token bucket per tenant and issues credit
// to the relays of the zones, which pass it on to their routers. A router admits a
// request against the credit it holds, or requests the credit that the request still
// needs (package ratelimit).
//
// Invariants, for each tenant:
//
//   - Only one controller issues credit at a time: the issuer, which holds a lease. It
//     never issues more than the rate times the elapsed time, plus the burst, plus the
//     amount by which a single request exceeds the burst, plus a share of the excess that
//     the operator tolerates (Policy). A new issuer starts with an empty bucket.
//   - The unspent credit of all relays and routers together is bounded by a further
//     share of the tolerated excess, so the requests that run in a window exceed the
//     credit issued in it by no more than that share.
//   - A router that gets no response from a relay in contact with the issuer falls back
//     to its own share of the rate, 1/N for N routers, or delegates that share to a relay
//     that does respond. The issuer issues only the share of the routers that are in
//     contact, so that both together stay within the rate.
//
// Credit that is lost with a process or a message was issued but is never spent: a
// failure makes quotas stricter for a moment, never looser. docs/quotas.md has the
// reasoning and the alternatives that were considered.
package quota
