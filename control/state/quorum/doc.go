// Package quorum is a controller's check-quorum: it tracks when each voter last
// answered, and from that whether a majority of the voters still hears this
// controller. A command is begun only while that is so, and is cancelled once it
// no longer is.
//
// Contact with a voter is as old as the newest request that it answered, counted
// from when that request was sent. Heartbeats need no disk, so a slow disk does
// not end contact. They are sent at a short interval only while a command is in
// flight.
//
// # Deadlines on another controller's clock
//
// A heartbeat response carries a reading R of the responder's monotonic clock,
// from which a forwarded command gets its deadline. Let the response arrive at
// the instant C of the forwarder. R was read no later than C, so when the
// forwarder gives up, at its instant G, the receiver's clock shows at least
//
//	R + (G - C)
//
// and a command that is not begun at or after that reading is not begun after
// the forwarder gave up. No wall clock is compared. A deadline is refused by any
// other incarnation of the receiver, and is shortened by 1% for clock drift.
//
// Not covered: a monotonic clock stands still while its machine is suspended, so
// a receiver that was suspended may begin a command that much late. A stopped
// process does not have this gap. See docs/hardening.md for the argument.
package quorum
