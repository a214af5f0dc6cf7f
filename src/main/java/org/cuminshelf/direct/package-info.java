/**
 * The decisions of an entry that connects to upstreams directly, without a sidecar: tables of calls, attempts and
 * upstreams, and the systems that process them. The package performs no I/O, reads no clock and starts no threads. Its
 * decisions take effect through {@link org.cuminshelf.direct.UpstreamClient} and
 * {@link org.cuminshelf.exchange.CallerExchange}.
 */
package org.cuminshelf.direct;
