// Package rollout moves a service's traffic from runners of one version to those of
// another, step by step, and back where the new version is bad.
//
// An order is stored in a register (Record) before it is acknowledged. The holder of the
// lease LeaseName, the Director, takes each rollout through its stages: a canary, a larger
// part, all of the traffic. It judges the target version by what routers saw of it (Judge),
// route by route, against the old version in the same seconds. Routers send requests to the
// target version only under a permit, which is a lease: they ask their zone's Relay for it
// over and over, and report what they saw in the same message.
//
// Invariants:
//   - A permit is counted from when it was asked for, at each hop, so a router that is cut
//     off, stopped or late stops sending within the Policy's PermitTTL.
//   - The exposure that a stage may cause is stored before the stage begins: a director that
//     takes over counts all of it as spent.
//   - A verdict (Finished, Reverted) is for good. A director whose lease has passed on can't
//     write: the record has the epoch of who wrote it last.
//   - Finished is written only once every router that can be heard has confirmed that it
//     sends nothing to old runners, and that nothing of its own runs there. A router that has
//     confirmed keeps to it for the Policy's LatchTime, also without a permit.
package rollout
