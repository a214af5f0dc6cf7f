/**
 * HTTP by Jetty: the callers' interface of an entry, the administration interface of a control process, and the pages
 * that every process has for its platform.
 */
package org.cuminshelf.http;
