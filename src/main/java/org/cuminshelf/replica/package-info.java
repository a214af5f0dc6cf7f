/**
 * The replicated log: terms, quorum, snapshots, membership change and leases of one group. The algorithm is Raft
 * (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014) with trial votes, leader
 * stickiness, learners and identities that die with their disk; docs/AGREEMENT.md says what was chosen and why.
 */
package org.cuminshelf.replica;
