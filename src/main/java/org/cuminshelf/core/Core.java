package org.cuminshelf.core;

import org.cuminshelf.message.Envelope;

/**
 * A deterministic decision core, called by a single thread: messages are first accepted into its tables, then a tick
 * runs its systems over the tables. A tick runs as soon as there is input or a timer is due, so it adds no fixed delay.
 *
 * <p>All times are nanoseconds of a monotonic clock with an arbitrary origin.
 */
public interface Core {

    /** Value of {@link #nextDue()} when no timer is set. */
    long NEVER = Long.MAX_VALUE;

    /**
     * Applies one message to the tables.
     *
     * @param now   current time in nanoseconds
     * @param input the message, with its sender
     * @param out   receives the messages to send
     */
    void accept(long now, Envelope input, Outbox out);

    /**
     * Runs the systems in their fixed order.
     *
     * @param now current time in nanoseconds
     * @param out receives the messages to send
     */
    void tick(long now, Outbox out);

    /**
     * Returns when the next tick is due if no message arrives before.
     *
     * @return time in nanoseconds, or {@link #NEVER}
     */
    long nextDue();

    /**
     * Returns how long the next tick can wait if no message arrives before.
     *
     * @param now current time in nanoseconds
     * @return time in nanoseconds, 0 if the tick is due
     */
    default long nanosUntilDue(long now) {
        long due = nextDue();
        return due <= now ? 0 : due - now;
    }
}
