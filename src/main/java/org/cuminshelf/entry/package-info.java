/**
 * The process that callers reach: admission, limits, the choice of an upstream, retries, and the assembly of answers.
 * {@link org.cuminshelf.entry.EntryCore} holds the tables and runs the systems.
 */
package org.cuminshelf.entry;
