package org.cuminshelf.exchange;

/** A request under way at an upstream. */
public interface UpstreamExchange {

    /** Ends its connection, which tells the upstream to stop work on it. The handler hears nothing more. */
    void cancel();

    /**
     * Ends its connection and throws away what was not delivered yet. Guards against a request that waits in the
     * sender's socket while the way is cut, and arrives when it may not be carried out any more.
     */
    default void cancelAndReset() {
        cancel();
    }
}
