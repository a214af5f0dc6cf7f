package org.cuminshelf.direct;

/**
 * Load that one generation offers to the engines of each role, reported to the planner of roles. It is counted once,
 * when the call is sent or refused; a refused call counts only for the role that lacked capacity.
 *
 * <p>Guards against a wrong split of roles after engines of one role fail. Their calls are refused, and callers retry.
 * When refused calls counted for both roles, the other role seemed to lack as much capacity as the role that refused
 * them, and the split seemed right: with one engine left that generates, 990 calls were refused for lack of a slot
 * within 14 s and six for lack of time, while three engines had the prefill role.
 */
final class OfferedLoad {

    private static final double MICROS_PER_MILLI = 1e3;

    private final ControlSubscription control;
    private final String service;
    private final long prefillMicros;
    private final long generationMicros;
    private boolean counted;

    /**
     * Creates the load of a call.
     *
     * @param control          the receiver of the count
     * @param service          the service of the call
     * @param prefillMicros    microseconds of prefill on an engine that only prefills
     * @param generationMicros microseconds for which the call occupies a slot of an engine that generates
     */
    OfferedLoad(ControlSubscription control, String service, long prefillMicros, long generationMicros) {
        this.control = control;
        this.service = service;
        this.prefillMicros = prefillMicros;
        this.generationMicros = generationMicros;
    }

    /**
     * Counts a call that was sent. Prefill on an engine that also generates is no load for engines in the prefill role.
     */
    void onSent(UpstreamSelector.Choice choice) {
        long countedPrefillMicros = choice.prefillOnly()
                ? (long) (MICROS_PER_MILLI * choice.estimate().prefillMillis())
                : 0;
        count(countedPrefillMicros, generationMicros);
    }

    /** Counts a call that was refused because no engine that generates had a slot for it. */
    void onRefusedForSlots() {
        count(0, generationMicros);
    }

    /** Counts a call that was refused because no engine could prefill its prompt in time. */
    void onRefusedForPrefill() {
        count(prefillMicros, 0);
    }

    /** Milliseconds for which the call occupies a slot of an engine that generates. */
    double generationMillis() {
        return generationMicros / MICROS_PER_MILLI;
    }

    private void count(long countedPrefillMicros, long countedGenerationMicros) {
        if (!counted) {
            counted = true;
            control.addOfferedWork(service, countedPrefillMicros, countedGenerationMicros);
        }
    }
}
