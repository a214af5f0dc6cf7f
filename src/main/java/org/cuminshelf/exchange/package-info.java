/**
 * HTTP/1.1 exchanges on Jetty's connectors and parser, for a process that forwards: one exchange at a time on each
 * connection, full control of when a connection may be used again, and word of a caller that left while its answer is
 * still being made. Everything here calls back under one lock, the one of the core that decides.
 */
package org.cuminshelf.exchange;
