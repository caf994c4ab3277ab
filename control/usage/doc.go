// Package usage counts the requests that runners started, per tenant and time window over
// all routers, and reports each window to the platform once.
//
//	router: Meter ──all undecided windows──▶ Relay of the zone ──▶ Collector of the holder
//	                                                               decide, store, report
//
// A window is decided when the counts to be reported for it are fixed. The holder is the
// controller that holds the usage part (package duty).
//
// # Invariants
//
//   - Counts are sent as totals per router incarnation and window and merged by maximum, so
//     that lost, repeated or late messages do not change the result. Routers repeatedly send
//     the counts of all undecided windows, so that the loss of a relay or of the holder loses
//     no counts.
//   - The report of a window is decided once and stored on a majority of disks before its
//     first byte is sent. Every holder of the usage part sends the stored bytes.
//   - Window boundaries follow the synchronized time (package timesync).
//
// docs/duties.md has the proof.
package usage
