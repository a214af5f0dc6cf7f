/** The organisations that callers belong to, and the API keys by which a request is assigned to one of them. */
package org.cuminshelf.organisations;
