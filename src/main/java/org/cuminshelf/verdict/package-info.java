/** The outcome reported to a caller: whether its request may have run, why it failed, and when to retry. */
package org.cuminshelf.verdict;
