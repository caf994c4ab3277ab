// Package duty assigns each part of the deployment's work at the platform to one controller
// at a time, and checks every call that the holder of a part makes against its session.
//
// A part is a unit of work with a single holder: reporting all usage windows is one part,
// ordering the runner counts of a zone is another. The controller that holds the assigner's
// lease runs the Assigner, which assigns parts to the controllers that keep a Session with
// it. A controller sends one heartbeat for all of its parts. The holder of each part and its
// fencing token are stored on a majority of disks before the holder is notified.
//
// # Invariants
//
//   - A part has one holder at a time. A holder's session starts when it sends its
//     heartbeat, the assigner's record of it when the assigner answers, so that the holder's
//     view expires first. The assigner reassigns a part only after the session has expired or
//     the holder has reported that it released the part. A new assigner does not know the
//     sessions of its predecessor and waits for one TTL first.
//   - The fencing token (fence) of a part increases with each change of its holder and is
//     stored before the change takes effect. A restarted process counts as another holder.
//   - A new holder makes no call until the hand-over delay (lease_ms) has passed since its
//     predecessor could last have made one. The holder therefore never changes twice within
//     that delay.
//   - Every call is checked against the session immediately before its bytes are
//     written, and its connection is reset once the session has expired (Client).
//
// docs/duties.md has the proof and the alternatives that were considered.
package duty
