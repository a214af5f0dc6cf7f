package org.cuminshelf.direct;

import java.util.function.Supplier;
import org.cuminshelf.exchange.CallerExchange;
import org.cuminshelf.exchange.CallerHandler;
import org.cuminshelf.exchange.ReceivedRequest;

/**
 * Passes requests to a handler that may be replaced.
 *
 * @param handler supplies the present handler
 */
record DelegatingHandler(Supplier<CallerHandler> handler) implements CallerHandler {

    @Override
    public void onRequest(ReceivedRequest request, CallerExchange exchange) {
        handler.get().onRequest(request, exchange);
    }

    @Override
    public void onDisconnect(CallerExchange exchange) {
        handler.get().onDisconnect(exchange);
    }
}
