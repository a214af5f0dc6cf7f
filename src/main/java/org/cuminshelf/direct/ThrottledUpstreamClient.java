package org.cuminshelf.direct;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.cuminshelf.backpressure.Backpressure;
import org.cuminshelf.core.Address;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.exchange.UpstreamExchange;
import org.cuminshelf.exchange.UpstreamHandler;
import org.cuminshelf.exchange.UpstreamRequest;

/**
 * An upstream client that enforces the rate limits and backoffs that upstreams request. A request that is not admitted
 * fails at once as not sent.
 *
 * <p>All requests go through it, because placement checks limits only for attempts: other requests, such as the release
 * of a KV cache, would bypass them.
 */
final class ThrottledUpstreamClient implements UpstreamClient {

    private static final UpstreamExchange NOT_SENT = () -> {};

    private final UpstreamClient delegate;
    private final Backpressure backpressure;
    private final LongSupplier clock;

    ThrottledUpstreamClient(UpstreamClient delegate, Backpressure backpressure, LongSupplier clock) {
        this.delegate = delegate;
        this.backpressure = backpressure;
        this.clock = clock;
    }

    @Override
    public UpstreamExchange send(Address address, String instanceId, UpstreamRequest request, UpstreamHandler handler) {
        long now = clock.getAsLong();
        if (!backpressure.maySend(now, instanceId)) {
            handler.onFailed(false, "the upstream asked to wait");
            return NOT_SENT;
        }
        backpressure.onRequestSent(now, instanceId);
        return delegate.send(address, instanceId, request, handler);
    }

    @Override
    public void discardIdleConnections(Address address, String instanceId) {
        delegate.discardIdleConnections(address, instanceId);
    }

    @Override
    public void probe(Address address, String instanceId, Consumer<Reachability> onResult) {
        delegate.probe(address, instanceId, onResult);
    }
}
