/**
 * What organisations used: calls that began to run, by windows of time, counted at entries and put together at control.
 * Nothing here sends or waits.
 */
package org.cuminshelf.usage;
