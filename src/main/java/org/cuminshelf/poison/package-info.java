/**
 * Poison requests, also called queries of death: requests that crash every upstream that runs them, each by itself or
 * by an attribute that they share. The package holds the fingerprints that identify requests and attributes, the
 * crashes of upstreams with what was running there, the search for the cause, and what is quarantined for it. All of
 * this merges in any order and without counting anything twice. The package does no I/O, reads no clock and makes no
 * decision on a call.
 */
package org.cuminshelf.poison;
