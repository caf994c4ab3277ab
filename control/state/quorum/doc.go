// Package quorum implements check-quorum for a controller: it tracks when each
// voter last answered, and from that whether this controller is in contact with a
// majority of the voters. A command is started only while it is, and canceled once
// it no longer is.
//
// The age of the contact with a voter is the time since the newest request that
// the voter answered was sent. Heartbeats need no disk access, so a slow disk does
// not end contact. They are sent at a short interval only while a command is in
// flight.
//
// # Deadlines on another controller's clock
//
// A heartbeat response carries a reading R of the responder's monotonic clock,
// from which the deadline of a forwarded command is derived. Let the response
// arrive at the instant C of the forwarder's clock. R was read no later than C, so
// when the forwarder gives up, at the instant G of its clock, the receiver's clock
// shows at least
//
//	R + (G - C)
//
// If the receiver starts no command at or after that reading, it starts none after
// the forwarder gave up. No wall clocks are compared. Other incarnations of the
// receiver refuse the deadline, and the time remaining until it is shortened by 1%
// to allow for clock drift.
//
// Not covered: a monotonic clock stands still while its machine is suspended, so a
// receiver that was suspended may start a command late by that time. A process
// that was stopped is not affected. See docs/hardening.md for the argument.
package quorum
