package org.cuminshelf.direct;

import java.util.Optional;
import org.cuminshelf.exchange.ReceivedRequest;
import org.cuminshelf.exchange.UpstreamRequest;
import org.eclipse.jetty.http.HttpFields;

/** How a deployment's callers and upstreams write what the decisions are about. It translates and decides nothing. */
public interface UpstreamProtocol {

    /**
     * Reads what a caller asks for.
     *
     * @param request the request
     * @return what it asks for
     */
    CallIntent readIntent(ReceivedRequest request);

    /**
     * Writes an attempt.
     *
     * @param request the caller's request
     * @param plan    what the attempt asks
     * @return the request to the upstream
     */
    UpstreamRequest attemptRequest(ReceivedRequest request, AttemptPlan plan);

    /**
     * Writes the word that a KV cache isn't needed any more.
     *
     * @param handle the cache
     * @return the request to the engine that holds it
     */
    UpstreamRequest releaseRequest(KvCacheHandle handle);

    /**
     * Reads the head of an answer.
     *
     * @param status  the status
     * @param headers all headers
     * @return what it says
     */
    ResponseMetadata readMetadata(int status, HttpFields headers);

    /**
     * Reads the answer to an attempt that only took the prompt in.
     *
     * @param body the answer
     * @return the name of the KV cache at the engine, if the answer holds one
     */
    Optional<String> readCacheHandle(byte[] body);
}
