// Package gossip disseminates small versioned items among the daemons. Every daemon
// converges to the newest version of each key that it should hold.
//
// The daemon that creates an item pushes it immediately down a tree of relays, region
// by region and zone by zone, so that each member receives one message and no daemon
// sends more than its fan-out per level. Anti-entropy repairs lost pushes: each daemon
// periodically exchanges the digest of its items with a partner, and if the digests
// differ, each side transfers the items that the other lacks.
//
// Invariants: a store never replaces an item by one with a lower version, and a version
// of a key has the same body everywhere. Keys under some prefixes belong to the backbone
// or to one zone, and other daemons do not hold them.
package gossip
