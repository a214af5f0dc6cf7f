/** Measurements behind docs/CAPACITY.md: what one more of each thing costs, and what a hop adds to a request. */
package org.cuminshelf.bench;
