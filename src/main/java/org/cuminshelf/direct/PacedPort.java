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
 * The way to upstreams, which keeps to what they ask for.
 *
 * <p>Failure it guards against: a kind of request that nobody thought of, such as the release of a KV cache, goes to an
 * upstream past the choice that looks at its limit and its rest. Whatever is sent passes here, or is not sent.
 */
final class PacedPort implements UpstreamPort {

    private static final UpstreamExchange NOT_SENT = () -> {};

    private final UpstreamPort port;
    private final Backpressure backpressure;
    private final LongSupplier clock;

    PacedPort(UpstreamPort port, Backpressure backpressure, LongSupplier clock) {
        this.port = port;
        this.backpressure = backpressure;
        this.clock = clock;
    }

    @Override
    public UpstreamExchange send(Address address, String upstream, UpstreamRequest request, UpstreamHandler handler) {
        long now = clock.getAsLong();
        if (!backpressure.maySend(now, upstream)) {
            handler.onFailed(false, "the upstream asked to wait");
            return NOT_SENT;
        }
        backpressure.onRequestSent(now, upstream);
        return port.send(address, upstream, request, handler);
    }

    @Override
    public void forgetIdle(Address address, String upstream) {
        port.forgetIdle(address, upstream);
    }

    @Override
    public void probe(Address address, String upstream, Consumer<Reachability> whenSeen) {
        port.probe(address, upstream, whenSeen);
    }
}
