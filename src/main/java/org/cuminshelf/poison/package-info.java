/**
 * Poison requests, also called queries of death: requests that crash every upstream that runs them. The package holds
 * the fingerprints that identify a request, the crashes of upstreams with the requests that were running there, and the
 * requests that are quarantined for them. All of this merges in any order and without counting anything twice. The
 * package does no I/O, reads no clock and makes no decision on a call.
 */
package org.cuminshelf.poison;
