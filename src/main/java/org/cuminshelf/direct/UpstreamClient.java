package org.cuminshelf.direct;

import java.util.function.Consumer;
import org.cuminshelf.core.Address;
import org.cuminshelf.exchange.Reachability;
import org.cuminshelf.exchange.UpstreamExchange;
import org.cuminshelf.exchange.UpstreamHandler;
import org.cuminshelf.exchange.UpstreamRequest;

/** Sends requests to upstreams. */
public interface UpstreamClient {

    /**
     * Sends a request. The handler may be called before this method returns.
     *
     * @param address    address of the upstream
     * @param instanceId id of the upstream instance
     * @param request    the request
     * @param handler    receives the response or the failure
     * @return the exchange, which can be cancelled
     */
    UpstreamExchange send(Address address, String instanceId, UpstreamRequest request, UpstreamHandler handler);

    /**
     * Discards the idle connections to an upstream, which may be dead without a reset, so that none is reused.
     *
     * @param address    address of the upstream
     * @param instanceId id of the upstream instance
     */
    void discardIdleConnections(Address address, String instanceId);

    /**
     * Opens a connection without sending a request, and keeps it in the pool for the next one.
     *
     * @param address    address of the upstream
     * @param instanceId id of the upstream instance
     * @param onResult   receives whether the connection was accepted
     */
    void probe(Address address, String instanceId, Consumer<Reachability> onResult);
}
