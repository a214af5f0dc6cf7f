/**
 * The frame of the deterministic decision cores: typed messages in, typed messages out, tables of entities, and
 * systems that run over them at each tick. Nothing here does I/O, starts threads, reads a clock or draws unseeded
 * random numbers.
 */
package org.cuminshelf.core;
