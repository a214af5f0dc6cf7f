package org.cuminshelf.planning;

import org.cuminshelf.config.ModelConfig;
import org.cuminshelf.config.PlanningConfig;

/**
 * What a planner goes by.
 *
 * @param prefillSpeed  prompt tokens a prefill engine takes in a second
 * @param decodeSpeed   output tokens a decode engine gives in a second
 * @param changeSeconds how long a change takes an engine away, without its draining
 * @param horizon       seconds ahead over which a change must pay
 * @param memorySeconds seconds after which a change of the mix is mostly believed
 * @param weight        how heavily a change weighs; 1 counts its lost capacity once
 * @param prefillFloor  fewest prefill engines
 * @param decodeFloor   fewest decode engines
 */
public record PlannerSettings(
        double prefillSpeed,
        double decodeSpeed,
        double changeSeconds,
        double horizon,
        double memorySeconds,
        double weight,
        int prefillFloor,
        int decodeFloor) {

    private static final double DEFAULT_CHANGE_SECONDS = 5;
    private static final double DEFAULT_HORIZON = 60;
    /** A mix that moves within minutes is followed within seconds. */
    private static final double DEFAULT_MEMORY = 8;

    /**
     * Settings from the operators' folder.
     *
     * @param planning the planning section
     * @param model    the model whose engines are planned
     * @return the settings
     */
    public static PlannerSettings of(PlanningConfig planning, ModelConfig model) {
        return new PlannerSettings(
                model.prefillSpeed(),
                model.decodeSpeed(),
                planning.changeTime().map(time -> time.toMillis() / 1e3).orElse(DEFAULT_CHANGE_SECONDS),
                planning.horizon().map(time -> time.toMillis() / 1e3).orElse(DEFAULT_HORIZON),
                DEFAULT_MEMORY,
                planning.roleChangeWeight().orElse(1.0),
                planning.prefillFloor().orElse(1),
                planning.decodeFloor().orElse(1));
    }
}
