package org.cuminshelf.planning;

import org.cuminshelf.config.ModelConfig;
import org.cuminshelf.config.PlanningConfig;

/**
 * What a planner goes by.
 *
 * @param prefillTokensPerSecond  prompt tokens a prefill engine takes in a second
 * @param decodeTokensPerSecond   output tokens a decode engine gives in a second
 * @param roleChangeSeconds how long a change takes an engine away, without its draining
 * @param horizonSeconds       seconds ahead over which a change must pay
 * @param smoothingSeconds seconds after which a change of the mix is mostly believed
 * @param roleChangeWeight        how heavily a change weighs; 1 counts its lost capacity once
 * @param minPrefillEngines  fewest prefill engines
 * @param minDecodeEngines   fewest decode engines
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
    /** A mix that moves within minutes is followed within seconds. */
    private static final double DEFAULT_SMOOTHING_SECONDS = 8;

    /**
     * Settings from the operators' folder.
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
