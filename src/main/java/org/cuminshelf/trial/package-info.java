/**
 * Runs in virtual time with the cores that serve: the randomised check, which asserts their promises under faults, and
 * the experiments, which measure their policy against baselines. docs/PROOF.md and docs/POLICY.md give the results.
 */
package org.cuminshelf.trial;
