/** The organisations that callers belong to, and the keys by which a request shows whose it is. */
package org.cuminshelf.organisations;
