package org.cuminshelf.direct;

import org.cuminshelf.engines.PauseRisk;

/**
 * The gaps between events that are expected of a stream at one engine.
 *
 * @param intervalMillis expected interval between two events in milliseconds, while the prompts queued there are
 *                       prefilled; 0 if the engine does not generate
 * @param pauseMillis    expected longest gap in milliseconds
 * @param engineFactor   factor by which the engine's intervals exceed the mean of its service
 * @param risk           the streams that are expected to be late because of this one
 */
record GapForecast(double intervalMillis, double pauseMillis, double engineFactor, PauseRisk risk) {

    /** Of a request without events. */
    static final GapForecast NONE = new GapForecast(0, 0, 1, PauseRisk.NONE);

    /** Probability of too long a gap from which a stream is expected to be late. */
    private static final double MAX_OWN_PROBABILITY = 0.5;

    /** Whether the stream itself is expected to have no gap beyond the limit. */
    boolean isInTime() {
        return risk.own() <= MAX_OWN_PROBABILITY;
    }
}
