package org.cuminshelf.process;

/** A process of the system that can be stopped gracefully. */
public interface ServingProcess extends AutoCloseable {

    /**
     * Stops accepting work, finishes the accepted work within the grace period, and closes.
     *
     * @return whether all accepted work was finished in time
     * @throws InterruptedException if the wait is interrupted
     */
    boolean stopGracefully() throws InterruptedException;

    /** Closes at once, without finishing accepted work. */
    @Override
    void close();
}
