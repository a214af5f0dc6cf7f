package org.cuminshelf.exchange;

/** A request under way at an upstream. */
public interface UpstreamExchange {

    /** Ends its connection, which tells the upstream to stop work on it. The handler hears nothing more. */
    void cancel();
}
