package org.cuminshelf.direct;

import java.util.Optional;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.exchange.UpstreamRequest;
import org.eclipse.jetty.http.HttpFields;

/**
 * Translates between the HTTP conventions of a deployment's callers and upstreams and the model of this package. It
 * makes no decisions.
 */
public interface UpstreamProtocol {

    /**
     * Reads the parameters of a caller's request.
     *
     * @param request the request
     * @return its parameters
     */
    CallIntent readIntent(ReceivedRequest request);

    /**
     * Builds the upstream request of an attempt.
     *
     * @param request the caller's request
     * @param plan    the parameters of the attempt
     * @return the request to the upstream
     */
    UpstreamRequest attemptRequest(ReceivedRequest request, AttemptPlan plan);

    /**
     * Builds the request that releases a KV cache.
     *
     * @param handle the cache
     * @return the request to the engine that holds it
     */
    UpstreamRequest releaseRequest(KvCacheHandle handle);

    /**
     * Reads the head of a response.
     *
     * @param status  the HTTP status
     * @param headers all headers
     * @return what they state
     */
    ResponseMetadata readMetadata(int status, HttpFields headers);

    /**
     * Reads the response to a prefill-only attempt.
     *
     * @param body the response body
     * @return the engine's handle of the KV cache, or empty if the body contains none
     */
    Optional<String> readCacheHandle(byte[] body);
}
