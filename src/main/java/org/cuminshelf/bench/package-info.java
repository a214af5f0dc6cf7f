/**
 * Benchmarks for docs/CAPACITY.md: marginal costs in the cores, and the latency that entry and sidecar add to a
 * request.
 */
package org.cuminshelf.bench;
