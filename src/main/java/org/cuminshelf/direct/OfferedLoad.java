package org.cuminshelf.direct;

/**
 * What one generation asks of the engines of each role, for the planner of roles. It is counted once, when the call is
 * sent or refused, and refused work is asked only of the role that was short.
 *
 * <p>Answers the load pattern of engines of one role that were lost: their work is refused, and callers come back with
 * it. Counted for both roles, it made the other role look as short as the one that refused it, so that the split seemed
 * right: with one engine left that generates, 990 calls were refused for want of a place within 14 s and six for want
 * of time, while three engines read prompts.
 */
final class OfferedLoad {

    private static final double MICROS_PER_MILLI = 1e3;

    private final ControlSubscription control;
    private final String service;
    private final long readMicros;
    private final long runningMicros;
    private boolean counted;

    /**
     * Makes the work of a call.
     *
     * @param control       takes what is counted
     * @param service       the service it is for
     * @param readMicros    microseconds that its prompt takes of an engine that only reads prompts
     * @param runningMicros microseconds for which it takes a place of an engine that generates
     */
    OfferedLoad(ControlSubscription control, String service, long readMicros, long runningMicros) {
        this.control = control;
        this.service = service;
        this.readMicros = readMicros;
        this.runningMicros = runningMicros;
    }

    /** The call was sent. What an engine reads beside its streams is no work for those that only read. */
    void onSent(UpstreamSelector.Choice choice) {
        long read = choice.prefillOnly()
                ? (long) (MICROS_PER_MILLI * choice.estimate().prefillMillis())
                : 0;
        count(read, runningMicros);
    }

    /** The call was refused, as no engine that generates had a place for it. */
    void onRefusedForSlots() {
        count(0, runningMicros);
    }

    /** The call was refused, as no engine could read its prompt in time. */
    void onRefusedForPrefill() {
        count(readMicros, 0);
    }

    private void count(long read, long running) {
        if (!counted) {
            counted = true;
            control.addOfferedWork(service, read, running);
        }
    }
}
