/**
 * The process that receives calls: admission, rate limits, choice of an upstream, retries, and delivery of answers.
 * {@link org.cuminshelf.entry.EntryCore} holds the state and runs the systems that work on it. All times are monotonic
 * nanoseconds unless a name states another unit.
 */
package org.cuminshelf.entry;
