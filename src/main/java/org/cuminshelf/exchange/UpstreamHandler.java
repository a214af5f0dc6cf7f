package org.cuminshelf.exchange;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/** Handles the response to one request to an upstream. The last call is either onComplete or onFailed. */
public interface UpstreamHandler {

    /** Limit on the body of a response of which little or nothing is used. */
    long DEFAULT_MAX_BODY_BYTES = 64 << 10;
    /** Time for a whole response that nobody else waits for. */
    long DEFAULT_TIMEOUT_MILLIS = 10_000;

    /**
     * Returns how large the body of a response may be; one that is larger is a failure.
     *
     * @return the limit in bytes
     */
    default long maxBodyBytes() {
        return DEFAULT_MAX_BODY_BYTES;
    }

    /** Value of a timeout for requests that are cancelled in time by whoever sent them. */
    long NO_TIMEOUT_MILLIS = Long.MAX_VALUE;

    /**
     * Returns how long a response may take until it is complete; one that takes longer is a failure. It is checked
     * about once a second.
     *
     * @return the limit in milliseconds from the sending of the request
     */
    default long timeoutMillis() {
        return DEFAULT_TIMEOUT_MILLIS;
    }

    /** Called when a request that has waited for a connection is about to be sent; it may be cancelled here. */
    default void beforeSend() {
        // Most requests are sent whatever has happened meanwhile.
    }

    /**
     * Called with the head of the response.
     *
     * @param status  HTTP status code
     * @param headers all headers
     */
    void onHead(int status, HttpFields headers);

    /**
     * Called with a part of the body; the buffer is valid during the call only.
     *
     * @param bytes the bytes of the part
     */
    void onBody(ByteBuffer bytes);

    /** Called when the response was received completely. */
    void onComplete();

    /**
     * Called when no complete response was received.
     *
     * @param sent   whether any byte of the request may have reached the upstream
     * @param reason description of the failure
     */
    void onFailed(boolean sent, String reason);
}
