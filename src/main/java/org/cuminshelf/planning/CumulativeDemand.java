package org.cuminshelf.planning;

/**
 * Work offered since the start, in a unit for which the work that an engine does in a second is known: tokens, or
 * microseconds of engine time.
 *
 * @param prefill prefill of prompts, without the cached parts
 * @param decode  generation of output
 */
public record CumulativeDemand(long prefill, long decode) {}
