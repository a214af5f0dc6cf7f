package org.cuminshelf.standin;

import java.util.List;

/** Listener for the output of an {@link EngineModel}. */
public interface EngineEvents {

    /**
     * Called when a stream has generated tokens.
     *
     * @param stream the stream id
     * @param tokens the new tokens, in order
     */
    void tokens(long stream, List<String> tokens);

    /**
     * Called when a stream has completed. Cancelled streams are not reported.
     *
     * @param stream       the stream id
     * @param finishReason {@code stop}, or {@link EngineModel#MOVED} after a prefill-only stream
     */
    void finished(long stream, String finishReason);
}
