// Package gossip spreads small items among the daemons: every daemon holds the
// newest version of each key.
//
// A daemon that makes an item pushes it at once down a tree of relays, region by
// region and zone by zone, so that each member gets one message and none sends
// more than its fan-out a level. What pushes lose, anti-entropy repairs: each
// daemon exchanges the digest of its items with a partner now and then, and
// where the digests differ both sides transfer what the other lacks.
//
// Invariants: of one key a store never goes to a lower version; a version stands
// for one body everywhere. Keys under some prefixes belong to the backbone or to
// one zone, and are held by nobody else.
package gossip
