/**
 * Durable storage of a control process: one checksummed log for each group. docs/STORAGE.md describes the format.
 */
package org.cuminshelf.storage;
