// Package readindex provides a starting router with its read index: the newest
// version of the configuration that a majority of the voters has confirmed since
// the router started. The router's Gate stays closed until the router has applied
// that version or a later one. Otherwise a router next to a partitioned controller
// could serve a configuration that was replaced elsewhere long ago.
//
// If the version can't be confirmed within Options.MaxWait, the Gate opens
// unconfirmed: a router must still serve when its whole region is partitioned.
package readindex
