package org.cuminshelf.direct;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.cuminshelf.exchange.UpstreamHandler;
import org.eclipse.jetty.http.HttpFields;

/** Asks engines to release KV caches that will not be used, as they fill memory there until they expire. */
final class KvCacheReleaser {

    private final UpstreamProtocol protocol;
    private final UpstreamClient client;
    private final UpstreamTable upstreams;
    private final LongSupplier clock;
    private final BackpressureListener backpressureListener;

    KvCacheReleaser(
            UpstreamProtocol protocol,
            UpstreamClient client,
            UpstreamTable upstreams,
            LongSupplier clock,
            BackpressureListener backpressureListener) {
        this.protocol = protocol;
        this.client = client;
        this.upstreams = upstreams;
        this.clock = clock;
        this.backpressureListener = backpressureListener;
    }

    /** Releases the KV cache of a call, if it has one. */
    void release(DirectCall call) {
        if (call.kvCache.isEmpty()) {
            return;
        }
        KvCacheHandle handle = call.kvCache.get();
        call.kvCache = Optional.empty();
        long now = clock.getAsLong();
        upstreams.instances().stream()
                .filter(instance -> instance.address.equals(handle.engine()))
                .findFirst()
                .ifPresent(instance -> client.send(
                        instance.address,
                        instance.id,
                        protocol.releaseRequest(handle),
                        new ReleaseResponseHandler(instance, call.intent.id(), now)));
    }

    /** Handles the response to a KV cache release. The outcome does not matter, as the cache expires anyway. */
    private final class ReleaseResponseHandler implements UpstreamHandler {

        private final UpstreamInstance upstream;
        private final String requestId;
        private final long sentAtNanos;

        private ReleaseResponseHandler(UpstreamInstance upstream, String requestId, long sentAtNanos) {
            this.upstream = upstream;
            this.requestId = requestId;
            this.sentAtNanos = sentAtNanos;
        }

        @Override
        public void onHead(int status, HttpFields headers) {
            backpressureListener.onResponseHead(
                    clock.getAsLong(),
                    upstream,
                    sentAtNanos,
                    requestId,
                    status,
                    protocol.readMetadata(status, headers));
        }

        @Override
        public void onBody(ByteBuffer bytes) {
            // The body of the response is not used.
        }

        @Override
        public void onComplete() {
            // Nothing to do: the head has been processed.
        }

        @Override
        public void onFailed(boolean requestSent, String reason) {
            // The cache expires without a release.
        }
    }
}
