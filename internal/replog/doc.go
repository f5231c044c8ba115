// Package replog implements the core of a replicated log: leader election,
// replication, membership changes and snapshots, as a function of state, event
// and time that returns actions. It opens no socket or file and reads no clock.
//
// The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-votes, leader
// stickiness, a leader lease, learners and single-server membership changes.
//
// Invariants, checked by the tests after every step:
//
//   - Election safety: at most one replica is leader in a term.
//   - Log matching: if two logs hold a record with the same index and term, the
//     logs are equal up to that index.
//   - Leader completeness: a committed record is in the log of every leader of a
//     later term.
//   - State machine safety: no two replicas apply different records at the same
//     index, and applied indexes only rise.
//   - Lease safety: while a leader holds a valid lease, no other replica is
//     elected.
//
// The caller must perform the actions of a step in order, and must not perform a
// Send before every Save that precedes it is durable. Lease safety also
// requires clocks whose rates differ by less than the margin of Timing.
package replog
