/**
 * Planners that divide the engines of a model between the prefill and decode roles as the mix of prompts and output
 * changes.
 */
package org.cuminshelf.planning;
