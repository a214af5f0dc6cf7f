package org.cuminshelf.upstream;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cuminshelf.message.Cause;
import org.cuminshelf.message.Ran;
import org.cuminshelf.message.UpstreamEnd;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** A small HTTP client for the one upstream on the same VM: one selector, few threads, short-lived idle connections. */
final class UpstreamHttpClient {

    private static final int MOST_THREADS = 6;
    /** Below the idle time of usual servers, so that a connection is not used while the other end closes it. */
    private static final long IDLE_MILLIS = 4_000;

    private UpstreamHttpClient() {}

    static HttpClient start(int connections) throws IOException {
        QueuedThreadPool threads = new QueuedThreadPool(MOST_THREADS, 2);
        threads.setName("upstream");
        ClientConnector connector = new ClientConnector();
        connector.setSelectors(1);
        connector.setExecutor(threads);
        connector.setIdleTimeout(java.time.Duration.ofMillis(IDLE_MILLIS));
        connector.setConnectTimeout(java.time.Duration.ofSeconds(1));
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setMaxConnectionsPerDestination(connections);
        client.setMaxRequestsQueuedPerDestination(connections * 4);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        try {
            client.start();
            // Answers go to callers as they are: no redirect, challenge or encoding is acted on here.
            client.getProtocolHandlers().clear();
            client.getContentDecoderFactories().clear();
        } catch (Exception e) {
            throw new IOException("the HTTP client can't be started: " + e.getMessage(), e);
        }
        return client;
    }

    static void stop(HttpClient client) {
        try {
            client.stop();
        } catch (Exception e) {
            // The process ends; there is nobody to tell.
        }
    }

    /** Notes whether any byte of a request may have been written. */
    static AtomicBoolean watchBegin(Request request) {
        AtomicBoolean begun = new AtomicBoolean();
        request.onRequestBegin(started -> begun.set(true));
        return begun;
    }

    /** The end of an attempt whose exchange failed. */
    static UpstreamEnd failed(long attempt, Result result, boolean begun) {
        boolean silent = result.getFailure() instanceof TimeoutException;
        return UpstreamEnd.newBuilder()
                .setAttempt(attempt)
                .setRan(begun ? Ran.MAY_HAVE_RUN : Ran.NOT_RUN)
                .setCause(silent ? Cause.UPSTREAM_SILENT : begun ? Cause.CONNECTION_BROKEN : Cause.CONNECT_FAILED)
                .build();
    }

    static Request withTimeout(Request request, long millis) {
        return request.timeout(millis, TimeUnit.MILLISECONDS).idleTimeout(millis, TimeUnit.MILLISECONDS);
    }
}
