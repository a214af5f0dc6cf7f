package org.cuminshelf.exchange;

/** A request in progress at an upstream. */
public interface UpstreamExchange {

    /**
     * Tells whether the request was sent, or is still waiting for a connection.
     *
     * @return whether any byte of it may have reached the upstream
     */
    default boolean isSent() {
        return true;
    }

    /** Closes the connection, which makes the upstream stop the work. The handler is not called any more. */
    void cancel();

    /**
     * Resets the connection and discards the bytes that were not delivered yet. Guards against a request that stays in
     * the send buffer during a network partition and is delivered after it has become invalid.
     */
    default void cancelAndReset() {
        cancel();
    }
}
