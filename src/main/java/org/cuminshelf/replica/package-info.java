/**
 * The replicated log: terms, quorum, snapshots, membership change and leases of one group. The algorithm is Raft
 * (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014) with pre-votes (named trial
 * votes here), leader stickiness, learners, and identities that are bound to a disk; docs/AGREEMENT.md gives the design
 * choices and their reasons.
 */
package org.cuminshelf.replica;
