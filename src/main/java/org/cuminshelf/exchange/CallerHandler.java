package org.cuminshelf.exchange;

/** Takes requests of callers. */
public interface CallerHandler {

    /**
     * Takes a request that was read in full.
     *
     * @param request  the request
     * @param exchange takes the answer
     */
    void onRequest(ReceivedRequest request, CallerExchange exchange);

    /**
     * The caller closed its connection before its answer was complete.
     *
     * @param exchange the exchange that nobody waits for any more
     */
    void onDisconnect(CallerExchange exchange);
}
