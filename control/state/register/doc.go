// Package register replicates small pieces of control state, each under a key of
// its own, on the synced disks of a majority of voters. Each key is a
// single-decree register in the manner of Paxos (compare CASPaxos): there is no
// common log and no leader for all keys.
//
// A Proposer owns a key once a majority promised its epoch, which is higher than
// any before; it then writes proposals under that epoch and confirms that no
// other took the key. An Acceptor is the voter's side. A Joiner makes a
// controller a voter, and a Repairer is the anti-entropy between voters.
//
// Invariants:
//   - an acceptor's promise for a key never falls, and it answers on a change
//     only once its storage has it;
//   - an update that was acknowledged is on a majority of disks, and on
//     ProposerOptions.MinCopies of them;
//   - voter sets of successive generations differ in one member, and a member
//     with a new disk learns from every majority that it may have voted in
//     before it votes, so all majorities meet;
//   - requests carry a FencingToken, so voters of another generation or with
//     another disk take no part.
package register
