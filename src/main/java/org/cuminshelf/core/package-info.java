/**
 * Foundation of the deterministic decision cores. A core receives and sends typed messages, stores entities in tables,
 * and runs its systems over the tables at each tick. Cores do no I/O, start no threads, read no clock and use no
 * unseeded random numbers; {@link org.cuminshelf.core.TraceFile} is the only class of this package that does I/O.
 */
package org.cuminshelf.core;
