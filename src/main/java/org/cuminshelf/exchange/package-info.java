/**
 * HTTP/1.1 client and server connections for a forwarding process, on Jetty's connectors and parser: one exchange at a
 * time on each connection, full control of connection reuse, and detection of callers that disconnect while their
 * response is pending. All callbacks are made under one lock, that of the core.
 */
package org.cuminshelf.exchange;
