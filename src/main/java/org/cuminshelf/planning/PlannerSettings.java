package org.cuminshelf.planning;

import org.cuminshelf.config.ModelConfig;
import org.cuminshelf.config.PlanningConfig;

/**
 * Parameters of a planner.
 *
 * @param prefillTokensPerSecond prompt tokens that a prefill engine processes per second
 * @param decodeTokensPerSecond  output tokens that a decode engine generates per second
 * @param roleChangeSeconds      how long a role change takes an engine out of service, without draining
 * @param horizonSeconds         period over which a change must yield a net benefit
 * @param smoothingSeconds       time constant of the demand forecasts
 * @param roleChangeWeight       factor on the cost of a change; 1 counts the lost capacity once
 * @param minPrefillEngines      least number of prefill engines
 * @param minDecodeEngines       least number of decode engines
 */
public record PlannerSettings(
        double prefillTokensPerSecond,
        double decodeTokensPerSecond,
        double roleChangeSeconds,
        double horizonSeconds,
        double smoothingSeconds,
        double roleChangeWeight,
        int minPrefillEngines,
        int minDecodeEngines) {

    private static final double DEFAULT_ROLE_CHANGE_SECONDS = 5;
    private static final double DEFAULT_HORIZON_SECONDS = 60;
    /** Follows within seconds a mix that changes within minutes. */
    private static final double DEFAULT_SMOOTHING_SECONDS = 8;

    /**
     * Reads the settings from the configuration.
     *
     * @param planning the planning section
     * @param model    the model whose engines are planned
     * @return the settings
     */
    public static PlannerSettings of(PlanningConfig planning, ModelConfig model) {
        return new PlannerSettings(
                model.initialPrefillTokensPerSecond(),
                model.initialDecodeTokensPerSecond(),
                planning.changeTime().map(duration -> duration.toMillis() / 1e3).orElse(DEFAULT_ROLE_CHANGE_SECONDS),
                planning.horizon().map(duration -> duration.toMillis() / 1e3).orElse(DEFAULT_HORIZON_SECONDS),
                DEFAULT_SMOOTHING_SECONDS,
                planning.roleChangeWeight().orElse(1.0),
                planning.prefillFloor().orElse(1),
                planning.decodeFloor().orElse(1));
    }
}
