/**
 * Runs cores as processes: provides their threads, clock, storage and local ports, and the graceful stop.
 */
package org.cuminshelf.process;
