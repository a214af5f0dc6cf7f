/**
 * Models of the engines of a service that are fitted to their answers: how long prompts take, how long the transfer of
 * a KV cache takes, and the intervals between the events of streams. The package does no I/O, reads no clock and needs
 * no settings of an engine: callers pass in observations and query predictions.
 */
package org.cuminshelf.engines;
