package org.cuminshelf.planning;

/**
 * Work offered since the start, in any unit in which it is known how much an engine does in a second: tokens, or
 * microseconds of engine time.
 *
 * @param prefill reading of prompts, as far as they are not cached
 * @param decode  generation
 */
public record CumulativeDemand(long prefill, long decode) {}
