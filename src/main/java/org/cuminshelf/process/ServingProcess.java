package org.cuminshelf.process;

/** A process of the system that can be stopped gracefully. */
public interface ServingProcess extends AutoCloseable {

    /**
     * Leaves, finishes what it has accepted, and closes.
     *
     * @return whether everything was finished in time
     * @throws InterruptedException if the wait is interrupted
     */
    boolean stopGracefully() throws InterruptedException;

    /** Ends at once. */
    @Override
    void close();
}
