/** What a caller is told of its request: whether it may have run, why it was not answered, when to try again. */
package org.cuminshelf.verdict;
