/**
 * The decisions of an entry that reaches upstreams straight, without a sidecar beside them: tables of calls, attempts
 * and upstreams, and the systems that run over them. No I/O, no clock, no threads; what was decided leaves through
 * {@link org.cuminshelf.direct.UpstreamClient} and {@link org.cuminshelf.exchange.CallerExchange}.
 */
package org.cuminshelf.direct;
