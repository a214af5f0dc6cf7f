/**
 * The files of a control process: one synced, checksummed log for each group. The format is described in
 * docs/STORAGE.md.
 */
package org.cuminshelf.storage;
