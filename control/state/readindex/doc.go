// Package readindex gives a starting router its read index: the newest version of
// the configuration that a majority of the voters confirmed after the router
// started. Until the router has applied that version, or a later one, its Gate
// stays closed, so that a router beside a partitioned controller does not serve
// what others have long replaced.
//
// A router that reaches no majority within Options.MaxWait opens unconfirmed: it
// must still serve when its whole region is partitioned.
package readindex
