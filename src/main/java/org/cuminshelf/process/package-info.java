/**
 * What runs a core as a process: its thread, its clock, its storage, its local ports, and the graceful stop.
 */
package org.cuminshelf.process;
