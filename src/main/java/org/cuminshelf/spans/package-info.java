/** Traces: one span for each hop of a request, exported to a file, by OTLP, or both. */
package org.cuminshelf.spans;
