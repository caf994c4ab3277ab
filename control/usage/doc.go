// Package usage counts, for each tenant and window of time, the requests that runners
// began, over all routers together, and reports each window to the platform once.
//
//	router: Meter ──all undecided windows──▶ Relay of the zone ──▶ Collector of the holder
//	                                                               decide, store, report
//
// # Invariants
//
//   - Counts travel as totals of one router's life and window and are merged by maximum:
//     a message that is lost, repeated or late changes nothing in the end. Routers send
//     what is undecided again and again, so that a relay or a holder that is lost takes
//     nothing with it.
//   - What is reported of a window is decided once, and stored on a majority of disks
//     before the first byte leaves. Whoever holds the part of usage sends those bytes.
//   - Windows are cut by the agreed time (package timesync).
//
// docs/duties.md has the argument.
package usage
