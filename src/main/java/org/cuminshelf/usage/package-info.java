/**
 * Usage of organisations: the number of calls that began to run in each time window, counted by the entries and
 * aggregated by control. The classes do no input or output.
 */
package org.cuminshelf.usage;
