package org.cuminshelf.exchange;

/** Handles requests of callers. */
public interface CallerHandler {

    /**
     * Handles a request that was received completely.
     *
     * @param request  the request
     * @param exchange sends the response
     */
    void onRequest(ReceivedRequest request, CallerExchange exchange);

    /**
     * Called when a caller closed its connection before its response was complete.
     *
     * @param exchange the exchange of the request; responding to it has no effect any more
     */
    void onDisconnect(CallerExchange exchange);
}
