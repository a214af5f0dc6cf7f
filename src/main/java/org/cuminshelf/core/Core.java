package org.cuminshelf.core;

import org.cuminshelf.message.Envelope;

/**
 * A decision core. It is driven by one thread: messages are accepted into its tables, then a tick runs its systems
 * over them. A tick runs as soon as input is there or a timer is due, so ticking adds no fixed delay.
 *
 * <p>Times are nanoseconds of a monotonic clock whose origin is unknown.
 */
public interface Core {

    /** Value of {@link #nextDue()} when no timer is set. */
    long NEVER = Long.MAX_VALUE;

    /**
     * Takes one message into the tables.
     *
     * @param now   the time in nanoseconds
     * @param input the message with its sender
     * @param out   receives what is to be sent
     */
    void accept(long now, Envelope input, Outbox out);

    /**
     * Runs the systems in their fixed order.
     *
     * @param now the time in nanoseconds
     * @param out receives what is to be sent
     */
    void tick(long now, Outbox out);

    /**
     * Tells when the next tick is due if no message comes before.
     *
     * @return the time in nanoseconds, or {@link #NEVER}
     */
    long nextDue();
}
