// Package rollout shifts a service's traffic from runners of one version to runners of
// another in stages, and shifts it back if the new version is bad.
//
// An order is stored in a register (Record) before it is acknowledged. The holder of the
// lease LeaseName, the Director, takes each rollout through its stages: a canary, a larger
// fraction of the runners (Partial), all of the traffic (Full). The Judge compares the target
// version with the old version over the same period, route by route, based on what routers
// report.
// Routers send requests to the target version only under a permit, which is a lease: they
// request it from their zone's Relay at a fixed interval, and report outcomes in the same
// message.
//
// Exposure is the traffic that the target version gets before it is known to be good. It is
// measured as the time for which all of the service's traffic would have had to go to the
// target version for as many requests as it got.
//
// Invariants:
//   - The lifetime of a permit starts when it is requested, at each hop, so a router that is
//     cut off, stopped or delayed stops sending within the Policy's PermitTTL.
//   - The exposure that a stage may cause is stored before the stage begins: a director that
//     takes over without further evidence counts all of it as used.
//   - Finished and Reverted are final. A director that has lost its lease can't write: the
//     record holds the epoch of the director that wrote it last.
//   - Finished is written only once every reachable zone with routers has confirmed that its
//     routers send nothing to old runners and have no requests running there. A router that
//     has confirmed keeps to it for the Policy's LatchTime, even without a permit.
package rollout
