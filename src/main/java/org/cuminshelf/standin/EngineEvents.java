package org.cuminshelf.standin;

import java.util.List;

/** Receives what an engine model does. */
public interface EngineEvents {

    /**
     * Tokens of a stream.
     *
     * @param stream the stream
     * @param tokens the tokens
     */
    void tokens(long stream, List<String> tokens);

    /**
     * A stream ended as it should.
     *
     * @param stream       the stream
     * @param finishReason {@code stop} or {@code length}
     */
    void finished(long stream, String finishReason);
}
