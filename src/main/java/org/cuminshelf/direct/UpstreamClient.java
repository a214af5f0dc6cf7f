package org.cuminshelf.direct;

import java.util.function.Consumer;
import org.cuminshelf.core.Address;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.exchange.UpstreamExchange;
import org.cuminshelf.exchange.UpstreamHandler;
import org.cuminshelf.exchange.UpstreamRequest;

/** Where requests to upstreams leave. A handler may be called before the sending returns. */
public interface UpstreamClient {

    /**
     * Sends a request.
     *
     * @param address  where
     * @param instanceId identity of the upstream's start
     * @param request  the request
     * @param handler  takes the answer
     * @return the exchange, to cancel it
     */
    UpstreamExchange send(Address address, String instanceId, UpstreamRequest request, UpstreamHandler handler);

    /**
     * Forgets kept connections to an upstream, which may have gone silent.
     *
     * @param address  where
     * @param instanceId identity of the upstream's start
     */
    void discardIdleConnections(Address address, String instanceId);

    /**
     * Opens a connection without a request on it, and keeps it for the next one.
     *
     * @param address  where
     * @param instanceId identity of the upstream's start
     * @param onResult takes what that showed
     */
    void probe(Address address, String instanceId, Consumer<Reachability> onResult);
}
