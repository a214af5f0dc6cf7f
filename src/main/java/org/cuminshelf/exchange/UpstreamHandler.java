package org.cuminshelf.exchange;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/** Takes the answer to one request sent to an upstream. After complete or failed nothing more comes. */
public interface UpstreamHandler {

    /**
     * The head of the answer.
     *
     * @param status  the status
     * @param headers all headers
     */
    void onHead(int status, HttpFields headers);

    /**
     * A part of the body; the buffer is valid during the call only.
     *
     * @param bytes the bytes
     */
    void onBody(ByteBuffer bytes);

    /** The answer came whole. */
    void onComplete();

    /**
     * The answer did not come whole.
     *
     * @param sent   whether any byte of the request may have reached the upstream
     * @param reason what happened
     */
    void onFailed(boolean sent, String reason);
}
