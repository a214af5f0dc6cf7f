/**
 * Proof by randomised runs: the cores that serve, under a virtual clock, network and disk, with faults from a seed and
 * invariants asserted inside the program. docs/PROOF.md lists the invariants and what breaks them.
 */
package org.cuminshelf.check;
