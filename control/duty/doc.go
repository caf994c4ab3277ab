// Package duty gives each part of the work that the deployment does at the platform to
// one controller at a time, and guards every call that the holder of a part makes.
//
// A part is a set of subjects: all usage windows are one part, the sizes of a zone are
// one. One controller, the Assigner, holds a lease, and deals the parts to controllers
// that keep a Session with it: one heartbeat for all parts of a controller. Who holds
// which part, under which fencing token, is stored on a majority of disks before the
// holder is told.
//
// # Invariants
//
//   - A part has one holder at a time. A holder counts its session from before its
//     heartbeat, the assigner from when it answers, and gives a part to another only
//     once the session has expired or the holder has told that it gave the part up. A
//     new assigner knows no sessions: it lets one time to live pass first.
//   - The fence of a part rises with each change of its holder and is stored first.
//     A process that restarts is another holder.
//   - A new holder makes no call for the hand-over time (lease_ms) after its
//     predecessor could have made one. So no two changes lie within it.
//   - Every call is checked against the session immediately before its bytes are
//     written, and its connection is reset once the session has expired (Client).
//
// docs/duties.md has the argument and what was weighed.
package duty
