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

/**
 * Creates the HTTP client for the single upstream on the same VM, with one selector, few threads and a short idle
 * timeout, and has helpers for its requests.
 */
final class UpstreamHttpClient {

    private static final int MAX_THREADS = 6;
    /** Below the idle timeout of common servers, so that no request uses a connection that the server is closing. */
    private static final long IDLE_TIMEOUT_MILLIS = 4_000;

    private UpstreamHttpClient() {}

    static HttpClient start(int maxConnections) throws IOException {
        QueuedThreadPool threads = new QueuedThreadPool(MAX_THREADS, 2);
        threads.setName("upstream");
        ClientConnector connector = new ResetAwareConnector();
        connector.setSelectors(1);
        connector.setExecutor(threads);
        connector.setIdleTimeout(java.time.Duration.ofMillis(IDLE_TIMEOUT_MILLIS));
        connector.setConnectTimeout(java.time.Duration.ofSeconds(1));
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
        client.setMaxConnectionsPerDestination(maxConnections);
        client.setMaxRequestsQueuedPerDestination(maxConnections * 4);
        client.setFollowRedirects(false);
        client.setUserAgentField(null);
        try {
            client.start();
            // Responses are forwarded to callers unchanged: this client handles no redirect, challenge or encoding.
            client.getProtocolHandlers().clear();
            client.getContentDecoderFactories().clear();
        } catch (Exception e) {
            throw new IOException("can't start the HTTP client of the upstream: " + e.getMessage(), e);
        }
        return client;
    }

    static void stop(HttpClient client) {
        try {
            client.stop();
        } catch (Exception e) {
            // The process is shutting down, so the failure has no consequence.
        }
    }

    /** Returns a flag that is set before the first byte of the request may be written. */
    static AtomicBoolean trackRequestBegin(Request request) {
        AtomicBoolean requestBegun = new AtomicBoolean();
        request.onRequestBegin(startedRequest -> requestBegun.set(true));
        return requestBegun;
    }

    /**
     * Returns the end of an attempt whose exchange failed.
     *
     * @param requestBegun whether any byte of the request may have been written; if not, the attempt certainly did not
     *                     run
     */
    static UpstreamEnd failedAttempt(long attempt, Result result, boolean requestBegun) {
        boolean timedOut = result.getFailure() instanceof TimeoutException;
        return UpstreamEnd.newBuilder()
                .setAttempt(attempt)
                .setRan(requestBegun ? Ran.MAY_HAVE_RUN : Ran.NOT_RUN)
                .setCause(
                        timedOut
                                ? Cause.UPSTREAM_SILENT
                                : requestBegun ? Cause.CONNECTION_BROKEN : Cause.CONNECT_FAILED)
                .build();
    }

    /** Sets both the total timeout and the idle timeout of a request. */
    static Request withTimeout(Request request, long timeoutMillis) {
        return request.timeout(timeoutMillis, TimeUnit.MILLISECONDS).idleTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
    }
}
