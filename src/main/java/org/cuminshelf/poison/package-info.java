/**
 * Poison requests, also called queries of death: requests that end every upstream that runs them. Here stand what makes
 * two requests the same, what is known of upstreams that ended under requests, and which requests are refused for it.
 * All of it merges in any order and without counting twice; there is no I/O, no clock and no decision on a call here.
 */
package org.cuminshelf.poison;
