package org.cuminshelf.engines;

/**
 * Expected number of streams whose gaps between events exceed their limit because an engine gets one more prompt and
 * one more stream. Streams that are late anyway do not count. It addresses bursts of prompts that an engine would
 * prefill beside so many streams that all of them are late.
 *
 * @param own    probability that the new stream has too long a gap, from 0 to 1
 * @param others expected number of the other streams that have too long a gap because of the new one, at least 0
 */
public record PauseRisk(double own, double others) {

    /** No stream is expected to be late. */
    public static final PauseRisk NONE = new PauseRisk(0, 0);

    /**
     * Load of an engine before the addition.
     *
     * @param engine       the name of the engine
     * @param streams      streams on the engine
     * @param queuedMillis milliseconds of prefill queued there
     */
    public record EngineLoad(String engine, int streams, double queuedMillis) {}

    /**
     * Returns the risk of one more stream.
     *
     * @param model        the model of the engine's service
     * @param now          the time in nanoseconds
     * @param load         the load of the engine
     * @param addedMillis  milliseconds for which the engine prefills the new prompt; 0 if another engine does that
     * @param maxGapMillis the longest gap that callers accept, in milliseconds; 0 if none is configured
     * @return the risk
     */
    public static PauseRisk of(
            StreamIntervalModel model, long now, EngineLoad load, double addedMillis, double maxGapMillis) {
        return of(model, now, load, addedMillis, maxGapMillis, maxGapMillis);
    }

    /**
     * Returns the risk of one more stream whose caller accepts other gaps than those of the streams beside it.
     *
     * @param model              the model of the engine's service
     * @param now                the time in nanoseconds
     * @param load               the load of the engine
     * @param addedMillis        milliseconds for which the engine prefills the new prompt; 0 if another one does that
     * @param ownMaxGapMillis    the longest gap that its caller accepts, in milliseconds; 0 if it accepts any
     * @param othersMaxGapMillis the longest gap that the other callers accept, in milliseconds; 0 if they accept any
     * @return the risk
     */
    public static PauseRisk of(
            StreamIntervalModel model,
            long now,
            EngineLoad load,
            double addedMillis,
            double ownMaxGapMillis,
            double othersMaxGapMillis) {
        int streams = load.streams + 1;
        double prefillMillis = load.queuedMillis + addedMillis;
        double own = model.lateProbability(load.engine, now, streams, prefillMillis, ownMaxGapMillis);
        double before = model.lateProbability(load.engine, now, load.streams, load.queuedMillis, othersMaxGapMillis);
        double after = model.lateProbability(load.engine, now, streams, prefillMillis, othersMaxGapMillis);
        return new PauseRisk(own, load.streams * Math.max(0, after - before));
    }

    /**
     * Returns the expected number of late streams, the new one included.
     *
     * @return their number
     */
    public double lateStreams() {
        return own + others;
    }
}
