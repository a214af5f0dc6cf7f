package org.cuminshelf.exchange;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;

/** The answering side of one request. Each request gets one answer, or its connection ends. */
public interface CallerExchange {

    /**
     * Gives a whole answer.
     *
     * @param status  the status
     * @param headers headers without those of framing
     * @param body    the whole body
     */
    void respond(int status, HttpFields headers, ByteBuffer body);

    /**
     * Begins an answer whose length isn't known.
     *
     * @param status  the status
     * @param headers headers without those of framing
     */
    void beginResponse(int status, HttpFields headers);

    /**
     * Sends a part of an answer that was begun.
     *
     * @param bytes the part
     */
    void writePart(ByteBuffer bytes);

    /** Ends an answer that was begun, as complete. */
    void endResponse();

    /** Ends the connection, so that what was sent of an answer can't look complete. */
    void abort();
}
