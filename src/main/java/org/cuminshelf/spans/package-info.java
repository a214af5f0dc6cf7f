/** Distributed tracing: one span for each process that handles a request, exported to a file, by OTLP, or both. */
package org.cuminshelf.spans;
