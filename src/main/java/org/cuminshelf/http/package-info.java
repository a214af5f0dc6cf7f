/**
 * HTTP servers on Jetty: the API for callers of an entry, the administration interface of a control process, and the
 * monitoring endpoints of every process.
 */
package org.cuminshelf.http;
