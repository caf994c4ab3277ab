// Package register replicates small values of control state, each under its own
// key, to a majority of voters that sync every write to disk. Each key is a
// single-decree Paxos register (compare CASPaxos): there is no common log and no
// leader for all keys.
//
// A Proposer owns a key once a majority has promised its epoch, which is higher
// than any before. It then writes proposals under that epoch, and confirms reads
// with a majority, which reveals that another proposer has taken the key. An
// Acceptor is the voter's side. A Joiner makes a controller a voter, and a
// Repairer runs the anti-entropy between voters.
//
// Invariants:
//   - an acceptor's promised epoch for a key never decreases, and it acknowledges
//     a change only once the change is durable;
//   - an acknowledged update is on the disks of a majority, and on at least
//     ProposerOptions.MinCopies disks;
//   - voter sets of successive generations differ in one member, and a member
//     with a new disk first learns from a voter of every majority that its old
//     disk may have been part of, so all majorities intersect;
//   - requests carry a FencingToken, so voters of another generation or with
//     another disk refuse them.
package register
