package org.cuminshelf.exchange;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/** The response side of one request. Each request gets exactly one response, or its connection is closed. */
public interface CallerExchange {

    /**
     * Tells whether the caller has left, by what has arrived at this process, read or not. It is asked before anything
     * is sent for the caller, as a busy process reads the end of a connection long after it has arrived.
     *
     * @return whether the caller has closed or reset its connection, or shut down its sending side
     */
    boolean hasCallerLeft();

    /**
     * Sends a complete response.
     *
     * @param status  HTTP status code
     * @param headers headers, without those for framing
     * @param body    complete body
     */
    void respond(int status, HttpFields headers, ByteBuffer body);

    /**
     * Begins a response of unknown length.
     *
     * @param status  HTTP status code
     * @param headers headers, without those for framing
     */
    void beginResponse(int status, HttpFields headers);

    /**
     * Sends a part of the body of a response that was begun.
     *
     * @param bytes the bytes of the part
     */
    void writePart(ByteBuffer bytes);

    /** Marks a response that was begun as complete. */
    void endResponse();

    /** Closes the connection, so that the caller can't take a partial response for a complete one. */
    void abort();
}
